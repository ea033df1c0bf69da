package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/resource"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestMeterCountsTokens(t *testing.T) {
	stream := "data: {\"choices\":[1]}\n\ndata: {\"choices\":[2]}\n\n: comment\n\n" +
		"data: {\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n"
	// The counts must not depend on how the stream is split into writes.
	for size := 1; size <= len(stream); size++ {
		is := is.New(t)
		m := NewMeter(resource.ServiceModel, start)
		m.SetEventStream(true)
		for at := 0; at < len(stream); at += size {
			m.Write([]byte(stream[at:min(at+size, len(stream))]))
		}
		is.Equal(m.Served(start), int64(2))
		is.Equal(m.Cost(start), int64(12)) // 2 completion tokens and 40/4 for the prompt
	}
}

func TestMeterReadsUsageOfWholeAnswer(t *testing.T) {
	is := is.New(t)
	m := NewMeter(resource.ServiceModel, start)
	m.Write([]byte(`{"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":100}}`))
	is.Equal(m.Cost(start), int64(102))
}

func TestMeterCountsTimeOfPlainServices(t *testing.T) {
	is := is.New(t)
	m := NewMeter(resource.ServicePlain, start)
	m.Write([]byte("anything"))
	is.Equal(m.Cost(start.Add(25*time.Millisecond)), int64(25))
	is.Equal(m.Cost(start), int64(1)) // the least cost
}

// FuzzMeter checks that the service received never falls and that the cost is at least one
// unit, whatever the upstream sends.
func FuzzMeter(f *testing.F) {
	f.Add([]byte("data: x\n\ndata: {\"usage\":{}}\n"))
	f.Add([]byte("data:\r\ndata: {\"usage\":{\"completion_tokens\":-5}}\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMeter(resource.ServiceModel, start)
		m.SetEventStream(true)
		last := int64(0)
		for _, b := range data {
			m.Write([]byte{b})
			if served := m.Served(start); served < last {
				t.Fatal("the service received fell")
			} else {
				last = served
			}
		}
		if m.Cost(start) < 1 {
			t.Fatal("cost below one unit")
		}
	})
}
