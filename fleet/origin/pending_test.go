package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPendingKeepsWhatIsNotConfirmed guards against streams that count as kept elsewhere although
// they were added after what is confirmed.
func TestPendingKeepsWhatIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	var p Pending
	one := Origin{
		Service: "llm",
		Version: "v1",
	}
	for s := range Stream(5) {
		p.Add(start.Add(time.Duration(s)*time.Second), s, one)
		p.Add(start.Add(time.Hour), s, one) // held already
	}
	batches, end := p.From(0, 3)
	is.Equal(batches, []Batch{batch(v1, 0, 1, 2)})
	is.Equal(end, uint64(3))
	p.Confirm(end)
	p.Confirm(1) // confirmed already
	is.Equal(p.Len(), 2)
	is.Equal(p.End(), uint64(5))
	batches, end = p.From(0, 10)
	is.Equal(batches, []Batch{batch(v1, 3, 4)})
	is.Equal(end, uint64(5))
	batches, _ = p.From(4, 10)
	is.Equal(batches, []Batch{batch(v1, 4)})
	batches, end = p.From(9, 10)
	is.Equal(len(batches), 0)
	is.Equal(end, uint64(5))
	is.Equal(p.Expire(start.Add(3*time.Second+Retention)), 0)
	is.Equal(p.Expire(start.Add(4*time.Second+Retention)), 1)
	p.Confirm(p.End() + 1)
	is.Equal(p.Len(), 0)
	is.Equal(p.End(), uint64(5))
	p.Add(start, 4, one)
	is.Equal(p.End(), uint64(6))
}
