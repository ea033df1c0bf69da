package answer

import (
	"context"
	"sync"
)

// DefaultRetainBytes is how many bytes of an answer's body a Buffer retains for
// resuming if NewBuffer is called with zero.
const DefaultRetainBytes = 1 << 20

// maxDataBytes is the maximum size of the data in a frame of a Cursor. The receiver uses only whole
// frames.
const maxDataBytes = 64 << 10

// Buffer holds the answer to one attempt between the upstream and the gateway. One
// goroutine writes; any number of goroutines read, each with a Cursor of its own. The
// writer blocks while the buffer is full of data that no reader has read, which bounds
// the memory for each answer, unless the buffer is abandoned.
type Buffer struct {
	request uint64
	attempt uint32
	retain  int // maximum length of body

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    []byte
	body    []byte
	start   uint64 // offset of body[0]
	read    uint64 // highest offset read by any cursor
	last    *Frame // FrameEnd or FrameFail; nil until the answer has ended
	// abandoned is true if data is discarded that nobody has read.
	abandoned bool
}

// NewBuffer returns an empty buffer that retains up to the given number of bytes of
// the body, at least four; zero means DefaultRetainBytes.
func NewBuffer(request uint64, attempt uint32, retain int) *Buffer {
	if retain == 0 {
		retain = DefaultRetainBytes
	}
	return &Buffer{
		request: request,
		attempt: attempt,
		retain:  retain,
		changed: make(chan struct{}),
	}
}

// wake releases all goroutines that wait for a change. b.mu must be held.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Buffer) frame(kind FrameType, offset uint64, payload []byte) Frame {
	return Frame{
		Type:    kind,
		Request: b.request,
		Attempt: b.attempt,
		Offset:  offset,
		Payload: payload,
	}
}

// SetHead sets the payload of the FrameHead.
func (b *Buffer) SetHead(payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = payload
	b.wake()
}

// Write appends data to the body. It blocks while the buffer is full of data that no
// reader has read, and returns the context's error if the context ends first.
func (b *Buffer) Write(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		b.mu.Lock()
		b.trim()
		free := b.retain - len(b.body)
		wait := b.changed
		if free > 0 {
			n := min(free, len(data))
			b.body = append(b.body, data[:n]...)
			data = data[n:]
			b.wake()
		}
		b.mu.Unlock()
		if free > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		}
	}
	return nil
}

// trim discards the oldest quarter of a full buffer if at least half of the buffer remains of what
// was read, because the gateway may not have received that. b.mu must be held.
func (b *Buffer) trim() {
	quarter := uint64(b.retain / 4)
	if len(b.body) < b.retain || !b.abandoned && b.read-b.start < uint64(b.retain/2)+quarter {
		return
	}
	b.body = append(b.body[:0], b.body[quarter:]...)
	b.start += quarter
}

// Abandon lets the writer go on without a reader: a full buffer discards its oldest data, read or not.
func (b *Buffer) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	b.wake()
}

// Finish ends the answer as complete, with the payload of the FrameEnd.
func (b *Buffer) Finish(payload []byte) { b.end(FrameEnd, payload) }

// Fail ends the answer as one that cannot be completed, with the payload of the
// FrameFail.
func (b *Buffer) Fail(payload []byte) { b.end(FrameFail, payload) }

// end sets the last frame. Calls after the first have no effect.
func (b *Buffer) end(kind FrameType, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return
	}
	f := b.frame(kind, b.start+uint64(len(b.body)), payload)
	b.last = &f
	b.wake()
}

// Ended reports whether the answer has ended.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last != nil
}

// Complete returns the payload of the head and the body. ok is false unless the answer
// has ended completely and none of the body was discarded.
func (b *Buffer) Complete() (head, body []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil || b.last.Type != FrameEnd || b.start > 0 {
		return nil, nil, false
	}
	return b.head, b.body, true
}

// Cursor reads the frames of a Buffer from an offset of the body on. It is not safe for
// concurrent use.
type Cursor struct {
	buffer   *Buffer
	offset   uint64
	sentHead bool
	ended    bool
}

// Cursor returns a cursor at the offset. Its first frame is the head, whatever the
// offset.
func (b *Buffer) Cursor(offset uint64) *Cursor {
	return &Cursor{
		buffer: b,
		offset: offset,
	}
}

// Next returns the next frame without blocking. If there is none yet, it returns a
// channel that is closed at the next change of the buffer; after the last frame the
// frame and the channel are nil. The error is ErrDiscarded if the data at the cursor's
// offset has been discarded.
func (c *Cursor) Next() (*Frame, <-chan struct{}, error) {
	b := c.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return nil, nil, nil
	}
	if !c.sentHead && b.head != nil {
		c.sentHead = true
		f := b.frame(FrameHead, 0, b.head)
		return &f, nil, nil
	}
	end := b.start + uint64(len(b.body))
	switch {
	case c.sentHead && c.offset < b.start:
		return nil, nil, ErrDiscarded
	case c.sentHead && c.offset < end:
		chunk := b.body[c.offset-b.start:]
		chunk = chunk[:min(len(chunk), maxDataBytes)]
		f := b.frame(FrameData, c.offset, append([]byte(nil), chunk...))
		c.offset += uint64(len(chunk))
		if c.offset > b.read {
			b.read = c.offset
			b.wake()
		}
		return &f, nil, nil
	case b.last != nil:
		c.ended = true
		return b.last, nil, nil
	}
	return nil, b.changed, nil
}
