package answer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drain reads frames from a cursor until there are none now.
func drain(t *rapid.T, c *Cursor, most int) []Frame {
	var out []Frame
	for len(out) < most {
		f, _, err := c.Next()
		if err != nil {
			t.Fatal(err)
		}
		if f == nil {
			break
		}
		out = append(out, *f)
	}
	return out
}

// TestResumedAnswerIsWhole writes an answer in random pieces while its stream
// breaks again and again; frames are lost, repeated and of older attempts. What
// is assembled is the answer, whole.
func TestResumedAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "body")
		b := NewBuffer(7, 2, 0)
		a := Assembler{
			Request: 7,
			Attempt: 2,
		}
		var got []byte
		written := 0
		cursor := b.Cursor(0)
		b.SetHead([]byte("head"))
		for !a.Ended() {
			if n := rapid.IntRange(0, 50).Draw(t, "write"); written < len(body) {
				end := min(len(body), written+n)
				if err := b.Write(context.Background(), body[written:end]); err != nil {
					t.Fatal(err)
				}
				written = end
			} else {
				b.Finish(nil)
			}
			frames := drain(t, cursor, rapid.IntRange(0, 4).Draw(t, "read"))
			broken := rapid.IntRange(0, 3).Draw(t, "break") == 0
			if broken && len(frames) > 0 {
				frames = frames[:rapid.IntRange(0, len(frames)).Draw(t, "arrived")]
			}
			frames = append(frames, Frame{
				Type:    FrameData,
				Request: 7,
				Attempt: 1,
				Payload: []byte("of the first attempt"),
			})
			for _, f := range frames {
				fresh, ok, err := a.Accept(f)
				if err != nil {
					t.Fatal(err)
				}
				if ok && fresh.Type == FrameData {
					got = append(got, fresh.Payload...)
				}
			}
			if broken {
				cursor = b.Cursor(a.Offset())
			}
		}
		if !bytes.Equal(got, body) {
			t.Fatalf("got %q, want %q", got, body)
		}
	})
}

func TestAssemblerRefusesWhatIsNotItsOwn(t *testing.T) {
	is := is.New(t)
	a := Assembler{
		Request: 1,
		Attempt: 1,
	}
	_, _, err := a.Accept(Frame{
		Type:    FrameData,
		Request: 2,
		Attempt: 1,
	})
	is.True(errors.Is(err, ErrWrongRequest))
	_, _, err = a.Accept(Frame{
		Type:    FrameData,
		Request: 1,
		Attempt: 1,
	})
	is.True(errors.Is(err, ErrGap)) // before the head
	_, fresh, err := a.Accept(Frame{
		Type:    FrameHead,
		Request: 1,
		Attempt: 1,
	})
	is.NoErr(err)
	is.True(fresh)
	_, _, err = a.Accept(Frame{
		Type:    FrameEnd,
		Request: 1,
		Attempt: 1,
		Offset:  10,
	})
	is.True(errors.Is(err, ErrGap)) // a truncated answer is not taken for whole
	is.True(!a.Ended())
}

func TestBufferBoundsMemory(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(1, 1, 100)
	b.SetHead(nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(b.Write(ctx, make([]byte, 1000)), context.Canceled)) // nobody reads
	is.Equal(len(b.body), 100)
	// A reader lets the writer go on; what it has taken is dropped.
	c := b.Cursor(0)
	c.headed = true
	for range 20 {
		_, _, err := c.Next()
		is.NoErr(err)
		_ = b.Write(ctx, make([]byte, 50))
		is.True(len(b.body) <= 100)
	}
	_, _, err := (&Cursor{
		buffer: b,
		headed: true,
	}).Next()
	is.True(errors.Is(err, ErrDiscarded))
	_, _, whole := b.Complete()
	is.True(!whole)
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, Frame{
		Type:    FrameData,
		Request: 1,
		Attempt: 1,
		Payload: []byte("x"),
	}))
	f.Add([]byte{3, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		a := Assembler{
			Request: 1,
			Attempt: 1,
		}
		for {
			frame, err := Read(r)
			if err != nil {
				if errors.Is(err, io.EOF) && r.Len() > 0 {
					t.Fatal("the end before the end")
				}
				return
			}
			if !bytes.Contains(data, Append(nil, frame)) {
				t.Fatal("a frame that was not sent")
			}
			if _, _, err := a.Accept(frame); err != nil {
				return
			}
		}
	})
}
