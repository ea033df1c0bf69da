package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Defaults and limits of a link.
const (
	DefaultHeartbeatInterval = time.Second
	// MaxMissedHeartbeats is how many heartbeats may be missed before a link is closed.
	MaxMissedHeartbeats = 3
	MaxFrameBytes       = 64 << 20
	queueFrames         = 4096
	lengthBytes         = 4
	readBufferBytes     = 32 << 10
	batchBytes          = 32 << 10
)

// Errors of a link.
var (
	ErrFrameTooLarge    = merry.Sentinel("frame too large")
	ErrHeartbeatTimeout = merry.Sentinel("the link went silent")
	ErrSlowPeer         = merry.Sentinel("the peer takes frames too slowly")
	ErrClosed           = merry.Sentinel("the link is closed")
)

// Stats counts the bytes of links, without the layers below them.
type Stats struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	FramesIn  atomic.Int64
	FramesOut atomic.Int64
}

// Conn is one end of a link that carries frames of type T. Send may be called
// by several goroutines.
type Conn[T any] struct {
	stream    io.ReadWriteCloser
	reader    *bufio.Reader
	heartbeat time.Duration
	stats     *Stats

	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	cause     error
	heard     atomic.Int64 // clock reading of the last arrival
	started   time.Time
}

// encoding keeps numbers as short as they can be.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoding of a frame, as it goes over a link.
func Encode(frame any) ([]byte, error) { return encoding.Marshal(frame) }

// newConn starts the goroutines that write frames and watch for silence.
func newConn[T any](stream io.ReadWriteCloser, reader *bufio.Reader, heartbeat time.Duration, stats *Stats) *Conn[T] {
	c := &Conn[T]{
		stream:    stream,
		reader:    reader,
		heartbeat: heartbeat,
		stats:     stats,
		queue:     make(chan []byte, queueFrames),
		done:      make(chan struct{}),
		started:   time.Now(),
	}
	go c.write()
	go c.watch()
	return c
}

// Frame is an encoded frame, which may be sent over several links.
type Frame []byte

// NewFrame encodes a frame.
func NewFrame(frame any) (Frame, error) {
	data, err := Encode(frame)
	if err != nil {
		return nil, merry.Prepend(err, "encode a frame")
	}
	if len(data) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	buffer := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(buffer, uint32(len(data)))
	return append(buffer, data...), nil
}

// Send queues a frame. A link whose peer does not keep up is closed.
func (c *Conn[T]) Send(frame T) error {
	encoded, err := NewFrame(frame)
	if err != nil {
		return err
	}
	return c.enqueue(encoded)
}

// SendFrame queues an encoded frame of type T, as Send does.
func (c *Conn[T]) SendFrame(frame Frame) error { return c.enqueue(frame) }

func (c *Conn[T]) enqueue(data []byte) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.queue <- data:
		return nil
	default:
		c.close(ErrSlowPeer)
		return ErrSlowPeer
	}
}

// Receive returns the next frame that is not a heartbeat. It is called by one
// goroutine.
func (c *Conn[T]) Receive() (T, error) {
	var frame T
	for {
		size, err := c.readLength()
		if err != nil {
			return frame, err
		}
		if size == 0 {
			continue
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(c.reader, data); err != nil {
			return frame, c.fail(err)
		}
		c.arrived(len(data))
		if err := cbor.Unmarshal(data, &frame); err != nil {
			return frame, c.fail(merry.Prepend(err, "decode a frame"))
		}
		c.stats.FramesIn.Add(1)
		return frame, nil
	}
}

func (c *Conn[T]) readLength() (int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return 0, c.fail(err)
	}
	c.arrived(lengthBytes)
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return 0, c.fail(ErrFrameTooLarge)
	}
	return int(size), nil
}

func (c *Conn[T]) arrived(bytes int) {
	c.heard.Store(int64(time.Since(c.started)))
	c.stats.BytesIn.Add(int64(bytes))
}

// fail closes the link and returns why it was closed first.
func (c *Conn[T]) fail(err error) error {
	c.close(err)
	return c.cause
}

// Close ends the link.
func (c *Conn[T]) Close() { c.close(ErrClosed) }

// Done is closed when the link has ended.
func (c *Conn[T]) Done() <-chan struct{} { return c.done }

func (c *Conn[T]) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.done)
		c.stream.Close()
	})
}

// write sends queued frames, as many as there are in one write.
func (c *Conn[T]) write() {
	timer := time.NewTimer(c.heartbeat)
	defer timer.Stop()
	var batch []byte
	for {
		batch = batch[:0]
		select {
		case <-c.done:
			return
		case data := <-c.queue:
			batch = append(batch, data...)
			c.stats.FramesOut.Add(1)
		case <-timer.C:
			batch = append(batch, 0, 0, 0, 0)
		}
		batch = c.drainQueue(batch)
		if _, err := c.stream.Write(batch); err != nil {
			c.close(err)
			return
		}
		c.stats.BytesOut.Add(int64(len(batch)))
		timer.Reset(c.heartbeat)
	}
}

func (c *Conn[T]) drainQueue(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case data := <-c.queue:
			batch = append(batch, data...)
			c.stats.FramesOut.Add(1)
		default:
			return batch
		}
	}
	return batch
}

// watch closes the link when nothing arrived for SilentHeartbeats intervals.
func (c *Conn[T]) watch() {
	ticker := time.NewTicker(c.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			silent := time.Since(c.started) - time.Duration(c.heard.Load())
			if silent > MaxMissedHeartbeats*c.heartbeat {
				c.close(ErrHeartbeatTimeout)
				return
			}
		}
	}
}

// closeOn ends the link when the context ends.
func (c *Conn[T]) closeOn(ctx context.Context) {
	select {
	case <-ctx.Done():
		c.Close()
	case <-c.done:
	}
}
