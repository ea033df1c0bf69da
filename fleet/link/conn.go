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
	// DefaultHeartbeatInterval is used if the dialing end sets no interval.
	DefaultHeartbeatInterval = time.Second
	// MaxMissedHeartbeats is for how many heartbeat intervals nothing may arrive before
	// an end closes the link.
	MaxMissedHeartbeats = 3
	// MaxFrameBytes is the maximum size of an encoded frame without its length.
	MaxFrameBytes = 64 << 20
	// queueFrames is how many frames may wait to be written before the link is closed.
	queueFrames     = 4096
	lengthBytes     = 4
	readBufferBytes = 32 << 10
	// batchBytes is the size at which a write takes no more queued frames.
	batchBytes = 32 << 10
)

// Errors of a link.
var (
	// ErrFrameTooLarge is returned for a frame larger than MaxFrameBytes.
	ErrFrameTooLarge = merry.Sentinel("link frame larger than MaxFrameBytes")
	// ErrHeartbeatTimeout is returned if nothing arrived for MaxMissedHeartbeats
	// intervals, or if a link could not be opened in time.
	ErrHeartbeatTimeout = merry.Sentinel("no data or heartbeat arrived from the peer in time")
	// ErrSlowPeer is returned if the queue of outgoing frames is full.
	ErrSlowPeer = merry.Sentinel("the queue of outgoing frames is full because the peer reads too slowly")
	// ErrPanicked is returned after a panic in a goroutine of the link or in the decoding of a frame.
	ErrPanicked = merry.Sentinel("the handling of the link panicked")
	// ErrClosed is returned after Close.
	ErrClosed = merry.Sentinel("the link is closed")
)

// Stats counts the traffic of links in bytes and frames, without the overhead of TLS
// and TCP.
type Stats struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	FramesIn  atomic.Int64
	FramesOut atomic.Int64
}

// Conn is one end of a link that carries frames of type T. Send, SendFrame and Close
// are safe for concurrent use; Receive is called by one goroutine at a time.
type Conn[T any] struct {
	stream    io.ReadWriteCloser
	reader    *bufio.Reader
	heartbeat time.Duration
	stats     *Stats
	// panicked is Dialer.Panicked.
	panicked func(value any)

	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	cause     error        // why the link was closed; set before done is closed
	lastRead  atomic.Int64 // nanoseconds from started to the last arrival
	started   time.Time
}

// encoding is the deterministic core encoding, which writes numbers in their shortest
// form.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoding of a frame without its length.
func Encode(frame any) ([]byte, error) { return encoding.Marshal(frame) }

// newConn returns the end of a link over a stream. It starts the goroutines that write
// queued frames and check for missed heartbeats.
func newConn[T any](stream io.ReadWriteCloser, reader *bufio.Reader, heartbeat time.Duration, stats *Stats, panicked func(any)) *Conn[T] {
	c := &Conn[T]{
		stream:    stream,
		reader:    reader,
		heartbeat: heartbeat,
		stats:     stats,
		panicked:  panicked,
		queue:     make(chan []byte, queueFrames),
		done:      make(chan struct{}),
		started:   time.Now(),
	}
	go c.write()
	go c.watch()
	return c
}

// Frame is an encoded frame with its length. One Frame may be sent over several links,
// so that it is encoded only once.
type Frame []byte

// NewFrame encodes a frame. The error is ErrFrameTooLarge if its encoding exceeds
// MaxFrameBytes.
func NewFrame(frame any) (Frame, error) {
	data, err := Encode(frame)
	if err != nil {
		return nil, merry.Prepend(err, "encode a link frame")
	}
	if len(data) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	buffer := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(buffer, uint32(len(data)))
	return append(buffer, data...), nil
}

// Send queues a frame without blocking. If the queue is full, it closes the link and
// returns ErrSlowPeer; on a closed link it returns ErrClosed.
func (c *Conn[T]) Send(frame T) error {
	encoded, err := NewFrame(frame)
	if err != nil {
		return err
	}
	return c.enqueue(encoded)
}

// SendFrame queues an encoded frame, which must be of type T, as Send does.
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

// Receive blocks until a frame that is not a heartbeat arrives and returns it. On an
// error the link is closed, and the error is the one that closed it.
func (c *Conn[T]) Receive() (frame T, err error) {
	defer func() {
		if c.panicked == nil {
			return
		}
		if value := recover(); value != nil {
			c.panicked(value)
			err = c.fail(ErrPanicked)
		}
	}()
	for {
		size, err := c.readLength()
		if err != nil {
			return frame, err
		}
		if size == 0 {
			continue
		}
		data := make([]byte, size)
		if err := c.readFull(data); err != nil {
			return frame, c.fail(err)
		}
		if err := cbor.Unmarshal(data, &frame); err != nil {
			return frame, c.fail(merry.Prepend(err, "decode a link frame"))
		}
		c.stats.FramesIn.Add(1)
		return frame, nil
	}
}

func (c *Conn[T]) readLength() (int, error) {
	var header [lengthBytes]byte
	if err := c.readFull(header[:]); err != nil {
		return 0, c.fail(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return 0, c.fail(ErrFrameTooLarge)
	}
	return int(size), nil
}

// readFull fills data and records each part that arrives, so that a large frame that
// takes long is not taken for silence.
func (c *Conn[T]) readFull(data []byte) error {
	for filled := 0; filled < len(data); {
		n, err := c.reader.Read(data[filled:])
		if n > 0 {
			c.recordArrival(n)
			filled += n
		}
		if err != nil && filled < len(data) {
			return err
		}
	}
	return nil
}

// recordArrival records the time of an arrival and its size.
func (c *Conn[T]) recordArrival(bytes int) {
	c.lastRead.Store(int64(time.Since(c.started)))
	c.stats.BytesIn.Add(int64(bytes))
}

// fail closes the link with err as the cause, unless it is closed already, and returns
// the cause with which it was closed.
func (c *Conn[T]) fail(err error) error {
	c.close(err)
	return c.cause
}

// Close closes the link; pending frames may be lost.
func (c *Conn[T]) Close() { c.close(ErrClosed) }

// Done returns a channel that is closed when the link is closed.
func (c *Conn[T]) Done() <-chan struct{} { return c.done }

func (c *Conn[T]) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.done)
		c.stream.Close()
	})
}

// endPanicked closes the link if the goroutine has panicked. It must be deferred.
func (c *Conn[T]) endPanicked() {
	if c.panicked == nil {
		return
	}
	if value := recover(); value != nil {
		c.panicked(value)
		c.close(ErrPanicked)
	}
}

// write writes queued frames, several in one write, and a heartbeat when no frame was
// written for the heartbeat interval.
func (c *Conn[T]) write() {
	defer c.endPanicked()
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
		batch = c.appendQueued(batch)
		if _, err := c.stream.Write(batch); err != nil {
			c.close(err)
			return
		}
		c.stats.BytesOut.Add(int64(len(batch)))
		timer.Reset(c.heartbeat)
	}
}

// appendQueued appends frames that are queued until the batch reaches batchBytes.
func (c *Conn[T]) appendQueued(batch []byte) []byte {
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

// watch closes the link if nothing arrived for MaxMissedHeartbeats intervals.
func (c *Conn[T]) watch() {
	defer c.endPanicked()
	ticker := time.NewTicker(c.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			idle := time.Since(c.started) - time.Duration(c.lastRead.Load())
			if idle > MaxMissedHeartbeats*c.heartbeat {
				c.close(ErrHeartbeatTimeout)
				return
			}
		}
	}
}

// closeOn closes the link when the context ends.
func (c *Conn[T]) closeOn(ctx context.Context) {
	select {
	case <-ctx.Done():
		c.Close()
	case <-c.done:
	}
}
