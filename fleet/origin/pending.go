package origin

import "time"

// maxPending is the number of streams that a Pending holds. The oldest give way.
const maxPending = 1 << 17

// Pending holds streams whose origins have been reported, but are not confirmed to be kept
// elsewhere. The zero value is ready to use. It is not safe for concurrent use.
type Pending struct {
	streams []pendingStream
	// known are those of streams.
	known map[begunAt]bool
	// first is the position of streams[0].
	first uint64
}

// begunAt is a stream and what began it.
type begunAt struct {
	stream Stream
	origin Origin
}

// pendingStream is a stream and the time at which it was added.
type pendingStream struct {
	begunAt
	added time.Time
}

// Add adds a stream, unless it is held already.
func (p *Pending) Add(now time.Time, s Stream, o Origin) {
	b := begunAt{
		stream: s,
		origin: o,
	}
	if p.known[b] {
		return
	}
	if p.known == nil {
		p.known = make(map[begunAt]bool)
	}
	p.known[b] = true
	p.streams = append(p.streams, pendingStream{
		begunAt: b,
		added:   now,
	})
	if len(p.streams) > maxPending {
		p.Confirm(p.first + 1)
	}
}

// Len returns the number of streams.
func (p *Pending) Len() int { return len(p.streams) }

// Begin returns the position of the first stream.
func (p *Pending) Begin() uint64 { return p.first }

// End returns the position after the last stream. Positions only grow.
func (p *Pending) End() uint64 { return p.first + uint64(len(p.streams)) }

// Confirm removes the streams before a position.
func (p *Pending) Confirm(end uint64) {
	if end <= p.first {
		return
	}
	n := min(end-p.first, uint64(len(p.streams)))
	for _, s := range p.streams[:n] {
		delete(p.known, s.begunAt)
	}
	p.streams = p.streams[n:]
	p.first += n
	if len(p.streams) == 0 {
		p.streams, p.known = nil, nil
	}
}

// Expire removes the streams that can't be resumed any more, and returns their number.
func (p *Pending) Expire(now time.Time) int {
	n := 0
	for n < len(p.streams) && now.Sub(p.streams[n].added) > Retention {
		n++
	}
	p.Confirm(p.first + uint64(n))
	return n
}

// From returns the streams from a position on, at most limit of them, and the position after them.
func (p *Pending) From(position uint64, limit int) (batches []Batch, end uint64) {
	begin := min(max(position, p.first)-p.first, uint64(len(p.streams)))
	streams := p.streams[begin:]
	streams = streams[:min(limit, len(streams))]
	for _, s := range streams {
		batches = AppendBatch(batches, s.stream, s.origin)
	}
	return batches, p.first + begin + uint64(len(streams))
}
