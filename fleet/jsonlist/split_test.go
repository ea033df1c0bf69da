package jsonlist

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSplitLeavesMalformedElements guards against a list that becomes unreadable with one
// malformed element, at its beginning, in its middle or at its end.
func TestSplitLeavesMalformedElements(t *testing.T) {
	for _, odd := range []string{
		`x`, `"`, `{"a":"`, `{`, `}`, `[`, `]`, `{"a":1`, `{]}`, `\`, "\xff", "\"\n\"", `{"a":"\"}`,
		strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
	} {
		for at := range 3 {
			is := is.New(t)
			elements := []string{`{"id":"a"}`, `{"id":"b"}`}
			elements = append(elements[:at:at], append([]string{odd}, elements[at:]...)...)
			data := `{"next": "p,]", "list" : [ ` + strings.Join(elements, " , ") + ` ], "more": [1]}`
			got, rest, err := Split([]byte(data), "list")
			if err != nil {
				t.Fatalf("%q: %v", data[:min(len(data), 100)], err)
			}
			is.Equal(string(rest), `{"next": "p,]", "list" : [], "more": [1]}`)
			var valid []string
			for _, e := range got {
				var object struct {
					ID string `json:"id"`
				}
				if json.Unmarshal(e, &object) == nil && object.ID != "" {
					valid = append(valid, object.ID)
				}
			}
			is.Equal(valid, []string{"a", "b"})
		}
	}
}

// TestSplitWholeData covers a list that is the whole data, and data without a list.
func TestSplitWholeData(t *testing.T) {
	is := is.New(t)
	elements, rest, err := Split([]byte(` [1, {"a":[2]},"x"] `), "")
	is.NoErr(err)
	is.Equal(len(elements), 1) // the others are no objects
	is.Equal(string(rest), ` [] `)
	elements, _, err = Split([]byte(`{"list":[]}`), "list")
	is.NoErr(err)
	is.Equal(len(elements), 0)
	for _, data := range []string{``, `[`, `[1`, `[1,`, `{"list":{}}`, `{"list":[1]`, `{"other":[]}`, `{"list"}`} {
		_, _, err = Split([]byte(data), "list")
		is.True(err != nil)
	}
}

// TestSplitIsBounded guards against data that takes the reader longer than its share of time.
func TestSplitIsBounded(t *testing.T) {
	is := is.New(t)
	for _, odd := range []string{`,{`, `,{"`, `]`, `"]`, `[`} {
		data := `{"list":["` + "\n" + strings.Repeat(odd, 1<<20/len(odd)) + `,{"id":"a"}]}`
		started := time.Now()
		_, _, _ = Split([]byte(data), "list") // any result will do
		is.True(time.Since(started) < 5*time.Second)
	}
}

// FuzzSplit checks that elements of valid lists are found, and that no data ends the program.
func FuzzSplit(f *testing.F) {
	f.Add(`{"list":[{"a":1},2],"next":null}`)
	f.Add(`{"list":[{"a":"\n"}, ]}`)
	f.Fuzz(func(t *testing.T, data string) {
		elements, rest, err := Split([]byte(data), "list")
		if err != nil {
			return
		}
		if !json.Valid(rest) {
			t.Fatalf("rest %q is not valid", rest)
		}
		var valid struct {
			List []json.RawMessage `json:"list"`
		}
		if strings.Count(data, `"list"`) == 1 && json.Unmarshal([]byte(data), &valid) == nil && objects(valid.List) > len(elements) {
			t.Fatalf("%d elements of %q, want %d", len(elements), data, objects(valid.List))
		}
	})
}

// objects returns the number of elements that are objects.
func objects(list []json.RawMessage) int {
	n := 0
	for _, e := range list {
		if e[0] == '{' {
			n++
		}
	}
	return n
}
