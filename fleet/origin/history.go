package origin

import (
	"slices"
	"time"
)

// Version is a software version of a service. An empty Name stands for versions that are not
// known.
type Version struct {
	Service string `json:"service"`
	Name    string `json:"name"`
}

// Change is a change of a History. Its parts are applied in the order of the fields.
type Change struct {
	// Begun are streams whose first events were forwarded.
	Begun []Batch `json:"begun,omitempty"`
	// Add are versions at which streams may begin from now on, Remove those of which no
	// stream can be resumed any more.
	Add    []Version `json:"add,omitempty"`
	Remove []Version `json:"remove,omitempty"`
	// Complete states that all streams that can still be resumed began at versions in the
	// history.
	Complete bool `json:"complete,omitempty"`
}

// History is the replicated record of the software versions that began streams. It has each
// version of a service before the first upstream of that version gets a request. As long as a
// service has one version, that is proof of what began each of its streams. While it has
// several, the streams are recorded one by one.
type History struct {
	// Versions are the names of the versions of each service.
	Versions map[string][]string `json:"versions"`
	// Complete reports that no stream that can be resumed began at another version.
	Complete bool `json:"complete"`
	// Begun are single streams, the oldest first.
	Begun []Recorded `json:"begun"`

	// register is the index of Begun.
	register *Register
}

// Recorded are the streams of one Change.
type Recorded struct {
	// Time is the leader's clock when the change was proposed.
	Time    time.Time `json:"time"`
	Batches []Batch   `json:"batches"`
}

// Initialize creates what a zero or decoded History lacks. It must be called before other
// methods.
func (h *History) Initialize() {
	if h.Versions == nil {
		h.Versions = make(map[string][]string)
	}
	h.register = NewRegister()
	for _, r := range h.Begun {
		h.index(r)
	}
}

// index adds streams to the index.
func (h *History) index(r Recorded) {
	for _, b := range r.Batches {
		for _, s := range b.Streams {
			h.register.Record(r.Time, s, Origin{
				Service: b.Service,
				Version: b.Version,
			})
		}
	}
}

// Find returns the origin of a stream and whether the stream is recorded.
func (h *History) Find(s Stream) (Origin, bool) { return h.register.Find(s) }

// Len returns the number of recorded streams.
func (h *History) Len() int { return h.register.Len() }

// Knows reports whether the history has a version.
func (h *History) Knows(v Version) bool { return slices.Contains(h.Versions[v.Service], v.Name) }

// Single returns the name of the only version that can have begun streams of a service, and
// whether there is just one.
func (h *History) Single(service string) (string, bool) {
	names := h.Versions[service]
	if !h.Complete || len(names) != 1 || names[0] == "" {
		return "", false
	}
	return names[0], true
}

// Apply applies a change that was proposed at the time now of its leader.
func (h *History) Apply(now time.Time, c Change) {
	h.register.Expire(now)
	expired := 0
	for expired < len(h.Begun) && now.Sub(h.Begun[expired].Time) > Retention {
		expired++
	}
	h.Begun = slices.Delete(h.Begun, 0, expired)
	if len(c.Begun) > 0 {
		r := Recorded{
			Time:    now,
			Batches: c.Begun,
		}
		h.Begun = append(h.Begun, r)
		h.index(r)
		h.limit()
	}
	for _, v := range c.Add {
		if !h.Knows(v) {
			h.Versions[v.Service] = append(h.Versions[v.Service], v.Name)
		}
	}
	for _, v := range c.Remove {
		h.Versions[v.Service] = slices.DeleteFunc(h.Versions[v.Service], func(name string) bool { return name == v.Name })
		if len(h.Versions[v.Service]) == 0 {
			delete(h.Versions, v.Service)
		}
	}
	h.Complete = h.Complete || c.Complete
}

// limit removes the oldest changes' streams beyond MaxStreams.
func (h *History) limit() {
	total := 0
	for i := len(h.Begun) - 1; i >= 0; i-- {
		for _, b := range h.Begun[i].Batches {
			total += len(b.Streams)
		}
		if total > MaxStreams {
			h.Begun = slices.Delete(h.Begun, 0, i+1)
			return
		}
	}
}
