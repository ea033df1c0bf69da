package origin

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxChangeStreams is the maximum number of streams in one Change.
	maxChangeStreams = 4096
	// MaxListAge is the time for which a gateway that is cut off from the leader begins streams
	// that can be resumed.
	MaxListAge = 5 * time.Minute
	// MaxReturn is the time after the first event of a stream within which callers may return.
	MaxReturn = 10 * time.Minute
	// MinVersionRetention is the least time for which a version stays in the history after it
	// was listed last.
	MinVersionRetention = MaxListAge + MaxReturn
	// removalInterval is the pause between two checks for versions to remove.
	removalInterval = time.Second
)

// Keeper decides, at the leader, which upstreams may be published, what is added to the
// History, and which version a stream goes on at. It is not safe for concurrent use.
type Keeper struct {
	since time.Time
	// begun are the streams that gateways have reported to this leader.
	begun *Register
	// versions and complete are copies of the replicated History.
	versions map[string][]string
	complete bool
	// adding are versions that the History lacks. The streams of their services are recorded
	// already, as if it had them.
	adding map[Version]bool
	// unrecorded are streams for the next changes.
	unrecorded []Batch
	// proposed reports whether a change is under way.
	proposed bool
	// lastListed are the times at which versions were listed last, and listRead is when the
	// list was read last.
	lastListed  map[Version]time.Time
	listRead    time.Time
	nextRemoval time.Time
}

// NewKeeper returns a Keeper for a leader that has led since the given time, and that has
// applied all changes of earlier leaders to the history.
func NewKeeper(since time.Time, history *History) *Keeper {
	k := &Keeper{
		since:      since,
		begun:      NewRegister(),
		adding:     make(map[Version]bool),
		lastListed: make(map[Version]time.Time),
	}
	k.Load(history)
	return k
}

// Load copies the versions of the history.
func (k *Keeper) Load(history *History) {
	k.versions = make(map[string][]string, len(history.Versions))
	for service, names := range history.Versions {
		k.versions[service] = slices.Clone(names)
	}
	k.complete = history.Complete
}

// Refresh copies the versions of the history, unless a change is under way: Done copies them
// at its end.
func (k *Keeper) Refresh(history *History) {
	if !k.proposed {
		k.Load(history)
	}
}

// Versions returns the number of versions of a service in the history.
func (k *Keeper) Versions(service string) int { return len(k.versions[service]) }

// knows reports whether the history has a version.
func (k *Keeper) knows(v Version) bool { return slices.Contains(k.versions[v.Service], v.Name) }

// records reports whether the streams of a service are recorded one by one.
func (k *Keeper) records(service string) bool {
	if !k.complete || len(k.versions[service]) != 1 {
		return true
	}
	for v := range k.adding {
		if v.Service == service {
			return true
		}
	}
	return false
}

// List takes the version of an upstream in the platform's list and reports whether the
// upstream may be published. Otherwise the version is added to the history first.
func (k *Keeper) List(now time.Time, v Version) bool {
	k.lastListed[v] = now
	k.listRead = now
	if k.knows(v) {
		return true
	}
	k.add(v)
	return false
}

// add has a version added to the history, with the streams that began at the only one that
// the service had so far.
func (k *Keeper) add(v Version) {
	if k.adding[v] {
		return
	}
	if !k.records(v.Service) {
		k.unrecorded = append(k.unrecorded, k.begun.Latest(v.Service, MaxStreams)...)
	}
	k.adding[v] = true
}

// Report takes streams that a gateway has reported. IsRecorded reports whether the history
// has a stream: gateways that have just linked to the leader report streams again.
func (k *Keeper) Report(now time.Time, batches []Batch, isRecorded func(Stream, Origin) bool) {
	for _, b := range batches {
		o := Origin{
			Service: b.Service,
			Version: b.Version,
		}
		v := Version{
			Service: b.Service,
			Name:    b.Version,
		}
		if !k.knows(v) {
			k.add(v) // the gateway has the list of a leader that keeps no history
		}
		for _, s := range b.Streams {
			k.begun.Record(now, s, o)
			if k.records(b.Service) && !isRecorded(s, o) {
				k.unrecorded = AppendBatch(k.unrecorded, s, o)
			}
		}
	}
}

// Answer is what a Keeper knows of the origin of a stream.
type Answer uint8

// The answers.
const (
	// Unknown: the origin is not known for certain and won't be.
	Unknown Answer = iota
	// Found: the origin is known.
	Found
	// Unconfirmed: the stream is not recorded, and its service has one version unless a later
	// leader has added another one. After a linearizable read History.Single returns it.
	Unconfirmed
)

// Find returns what is known of the origin of a stream, which the history has if isRecorded is
// true. Service is the one that began it unless another is known to have, and allows reports
// whether the stream may go on at a service.
func (k *Keeper) Find(s Stream, service string, allows func(service string) bool, recorded Origin, isRecorded bool) (Origin, Answer) {
	o, ok := k.begun.Find(s)
	switch {
	case ok && isRecorded && o != recorded:
		return Origin{}, Unknown
	case !ok && isRecorded:
		o, ok = recorded, true
	}
	switch {
	case ok && o.Known() && allows(o.Service):
		return o, Found
	case ok || k.records(service):
		return Origin{}, Unknown
	}
	return Origin{}, Unconfirmed
}

// Adds reports whether versions wait to be added to the history.
func (k *Keeper) Adds() bool { return len(k.adding) > 0 }

// Pending reports whether there is a change to be proposed now.
func (k *Keeper) Pending() bool {
	return !k.proposed && (len(k.unrecorded) > 0 || len(k.adding) > 0)
}

// Next returns the change to be proposed, which must be passed to Done when its outcome is
// known. New versions come with the last of the streams, so that those that began before
// are not lost.
func (k *Keeper) Next() Change {
	k.proposed = true
	c := Change{}
	c.Begun, k.unrecorded = splitBatches(k.unrecorded, maxChangeStreams)
	if len(k.unrecorded) == 0 {
		for v := range k.adding {
			c.Add = append(c.Add, v)
		}
		slices.SortFunc(c.Add, compareVersions)
	}
	return c
}

// Done takes the end of a proposed change: the history after it, or nil if it may not have
// been applied.
func (k *Keeper) Done(c Change, history *History) {
	k.proposed = false
	if history == nil {
		k.unrecorded = append(c.Begun, k.unrecorded...)
		return
	}
	k.Load(history)
	for _, v := range c.Add {
		delete(k.adding, v)
	}
}

// Removal returns the change that removes the versions of which no stream can be resumed any
// more, and whether there is one. Retention is the time for which versions are kept after they
// were listed last. It counts up to the last reading of the list, since gateways use the
// upstreams of that one for as long as there is no newer one.
func (k *Keeper) Removal(now time.Time, retention time.Duration) (Change, bool) {
	if k.proposed || now.Before(k.nextRemoval) || now.Sub(k.since) <= retention {
		return Change{}, false
	}
	k.nextRemoval = now.Add(removalInterval)
	c := Change{
		// Versions that older leaders published without a record have left the list, too.
		Complete: !k.complete,
	}
	for service, names := range k.versions {
		for _, name := range names {
			v := Version{
				Service: service,
				Name:    name,
			}
			if k.listRead.Sub(k.lastListed[v]) > retention && !k.adding[v] {
				c.Remove = append(c.Remove, v)
			}
		}
	}
	slices.SortFunc(c.Remove, compareVersions)
	for _, v := range c.Remove {
		// If it is listed from now on, it is added again first.
		k.versions[v.Service] = slices.DeleteFunc(k.versions[v.Service], func(name string) bool { return name == v.Name })
	}
	k.proposed = c.Complete || len(c.Remove) > 0
	return c, k.proposed
}

// compareVersions orders versions.
func compareVersions(a, b Version) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}

// splitBatches returns the first limit streams of batches, and the others.
func splitBatches(batches []Batch, limit int) (first, rest []Batch) {
	for i, b := range batches {
		if len(b.Streams) <= limit {
			first = append(first, b)
			limit -= len(b.Streams)
			continue
		}
		rest = slices.Clone(batches[i:])
		if limit > 0 {
			head := b
			head.Streams = b.Streams[:limit]
			first = append(first, head)
			rest[0].Streams = b.Streams[limit:]
		}
		return first, rest
	}
	return first, nil
}
