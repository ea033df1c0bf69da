package origin

import "time"

// Limits of a Register.
const (
	// Retention is the time after its first event for which the origin of a stream is kept.
	// Callers that take longer to return can't resume it.
	Retention = 2 * time.Minute
	// MaxStreams is the number of streams that a Register holds. The oldest give way.
	MaxStreams = 1 << 19
)

// Register holds the origins of streams for at least Retention after their first event, and for
// longer until the next one is recorded. Only Find is safe for concurrent use.
type Register struct {
	origins map[Stream]Origin
	// order holds the streams and the times of their first events, the oldest first; those
	// before index first have been removed.
	order []begun
	first int
	// texts holds one copy of each service name and version.
	texts map[string]string
}

// begun is a stream and the time of its first event.
type begun struct {
	stream Stream
	at     time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		origins: make(map[Stream]Origin),
		texts:   make(map[string]string),
	}
}

// Record records that the first event of a stream was forwarded. Of a stream that is recorded
// with two origins no version is known: its identifier was used twice.
func (r *Register) Record(now time.Time, s Stream, o Origin) {
	r.Expire(now)
	known, ok := r.origins[s]
	if ok {
		if known != o {
			r.origins[s] = Origin{
				Service: known.Service,
			}
		}
		return
	}
	r.origins[s] = Origin{
		Service: r.text(o.Service),
		Version: r.text(o.Version),
	}
	r.order = append(r.order, begun{
		stream: s,
		at:     now,
	})
	if len(r.origins) > MaxStreams {
		r.removeFirst()
	}
}

// text returns the register's copy of a text.
func (r *Register) text(t string) string {
	if known, ok := r.texts[t]; ok {
		return known
	}
	if len(r.texts) >= maxTexts {
		clear(r.texts)
	}
	r.texts[t] = t
	return t
}

// maxTexts bounds the copies of service names and versions.
const maxTexts = 1024

// Find returns the origin of a stream and whether the stream is recorded. It may be called by
// several goroutines at once while nothing is recorded.
func (r *Register) Find(s Stream) (Origin, bool) {
	o, ok := r.origins[s]
	return o, ok
}

// Len returns the number of streams.
func (r *Register) Len() int { return len(r.origins) }

// Latest returns the most recent streams of a service, or of all if it is empty, at most limit
// of them.
func (r *Register) Latest(service string, limit int) []Batch {
	var out []Batch
	for i := len(r.order) - 1; i >= r.first && limit > 0; i-- {
		s := r.order[i].stream
		if o := r.origins[s]; service == "" || o.Service == service {
			out = AppendBatch(out, s, o)
			limit--
		}
	}
	return out
}

// Expire removes the streams that began longer than Retention ago.
func (r *Register) Expire(now time.Time) {
	for r.first < len(r.order) && now.Sub(r.order[r.first].at) > Retention {
		r.removeFirst()
	}
}

// removeFirst removes the oldest stream. The removed part of order is dropped once it is the
// larger one, so that the cost of copying is amortized.
func (r *Register) removeFirst() {
	delete(r.origins, r.order[r.first].stream)
	r.first++
	if 2*r.first >= len(r.order) {
		r.order = append([]begun(nil), r.order[r.first:]...)
		r.first = 0
	}
}
