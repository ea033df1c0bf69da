package answer

import (
	"context"
	"sync"
)

// DefaultRetainBytes is how much of an answer's body is kept for resuming.
const DefaultRetainBytes = 1 << 20

// Buffer holds one attempt's answer between the upstream and the gateway. One
// goroutine writes, any number read, each from its own offset. A writer that is
// KeepBytes ahead of the furthest reader waits.
type Buffer struct {
	request uint64
	attempt uint32
	keep    int

	mu      sync.Mutex
	changed chan struct{}
	head    []byte
	body    []byte
	start   uint64 // offset of body[0]
	read    uint64 // furthest offset any reader has taken
	last    *Frame // FrameEnd or FrameFail
}

// NewBuffer returns an empty buffer that keeps up to keep bytes; zero means
// DefaultKeepBytes.
func NewBuffer(request uint64, attempt uint32, keep int) *Buffer {
	if keep == 0 {
		keep = DefaultRetainBytes
	}
	return &Buffer{
		request: request,
		attempt: attempt,
		keep:    keep,
		changed: make(chan struct{}),
	}
}

// wake tells everyone that waits; the lock is held.
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

// SetHead sets the head's payload.
func (b *Buffer) SetHead(payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = payload
	b.wake()
}

// Write appends to the body. It waits while the furthest reader is too far
// behind and returns the context's error when that ends first.
func (b *Buffer) Write(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		b.mu.Lock()
		b.trim()
		room := b.keep - len(b.body)
		wait := b.changed
		if room > 0 {
			n := min(room, len(data))
			b.body = append(b.body, data[:n]...)
			data = data[n:]
			b.wake()
		}
		b.mu.Unlock()
		if room > 0 {
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

// trim drops the older half of what readers have taken when space is needed;
// the lock is held.
func (b *Buffer) trim() {
	if len(b.body) < b.keep {
		return
	}
	taken := b.read - b.start
	if drop := min(taken, uint64(b.keep/2)); drop > 0 {
		b.body = append(b.body[:0], b.body[drop:]...)
		b.start += drop
	}
}

// Finish ends the answer as whole.
func (b *Buffer) Finish(payload []byte) { b.end(FrameEnd, payload) }

// Fail ends the answer as one that can't be completed.
func (b *Buffer) Fail(payload []byte) { b.end(FrameFail, payload) }

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

// Complete returns the head's payload and the body when the answer has ended whole
// and nothing was dropped.
func (b *Buffer) Complete() (head, body []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil || b.last.Type != FrameEnd || b.start > 0 {
		return nil, nil, false
	}
	return b.head, b.body, true
}

// Cursor reads a Buffer from an offset.
type Cursor struct {
	buffer *Buffer
	offset uint64
	headed bool
	ended  bool
}

// Cursor returns a reader from the offset. The head is sent first in any case.
func (b *Buffer) Cursor(offset uint64) *Cursor {
	return &Cursor{
		buffer: b,
		offset: offset,
	}
}

// Next returns the next frame without waiting. Without one it returns a channel
// that is closed when there may be more; after the last frame both are absent.
// ErrGone tells that the offset is no longer kept.
func (c *Cursor) Next() (*Frame, <-chan struct{}, error) {
	b := c.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ended {
		return nil, nil, nil
	}
	if !c.headed && b.head != nil {
		c.headed = true
		f := b.frame(FrameHead, 0, b.head)
		return &f, nil, nil
	}
	end := b.start + uint64(len(b.body))
	switch {
	case c.headed && c.offset < b.start:
		return nil, nil, ErrDiscarded
	case c.headed && c.offset < end:
		piece := b.body[c.offset-b.start:]
		if len(piece) > MaxPayloadBytes {
			piece = piece[:MaxPayloadBytes]
		}
		f := b.frame(FrameData, c.offset, append([]byte(nil), piece...))
		c.offset += uint64(len(piece))
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
