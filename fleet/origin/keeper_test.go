package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	v1    = Version{
		Service: "llm",
		Name:    "v1",
	}
	v2 = Version{
		Service: "llm",
		Name:    "v2",
	}
)

// batch returns streams that began at a version.
func batch(v Version, streams ...Stream) Batch {
	return Batch{
		Service: v.Service,
		Version: v.Name,
		Streams: streams,
	}
}

// only returns the function for Find of a request that may go to one service.
func only(service string) func(string) bool {
	return func(other string) bool { return other == service }
}

// notRecorded is the function for Report of an empty history.
func notRecorded(Stream, Origin) bool { return false }

// newKeeper returns a keeper and its complete history, which has a version.
func newKeeper(versions ...Version) (*Keeper, *History) {
	history := &History{
		Complete: true,
	}
	history.Initialize()
	history.Apply(start, Change{
		Add: versions,
	})
	return NewKeeper(start, history), history
}

// TestVersionIsRecordedBeforeItIsPublished guards against streams that begin at a version that
// the replicated history lacks: a new leader would take the other version for the only one.
func TestVersionIsRecordedBeforeItIsPublished(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1)
	is.True(k.List(start, v1))
	is.True(!k.Pending()) // one version needs no record of streams
	k.Report(start, []Batch{batch(v1, 1, 2)}, notRecorded)
	is.True(!k.Pending())
	_, answer := k.Find(1, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Found)
	_, answer = k.Find(3, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unconfirmed)

	is.True(!k.List(start, v2))
	k.Report(start, []Batch{batch(v1, 4)}, notRecorded)
	_, answer = k.Find(3, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unknown) // from now on another leader may publish the new version
	change := k.Next()
	is.Equal(change, Change{
		Begun: []Batch{batch(v1, 2, 1, 4)}, // also those from before
		Add:   []Version{v2},
	})
	is.True(!k.Pending())
	is.True(!k.List(start, v2))
	k.Done(change, nil)
	is.True(!k.List(start, v2)) // the change failed
	is.Equal(k.Next(), change)
	history.Apply(start, change)
	k.Done(change, history)
	is.True(k.List(start, v2))
	k.Report(start, []Batch{batch(v2, 5)}, notRecorded)
	is.Equal(k.Next(), Change{
		Begun: []Batch{batch(v2, 5)},
	})
	o, ok := history.Find(2)
	is.True(ok)
	is.Equal(o.Version, "v1")
	_, single := history.Single("llm")
	is.True(!single)
}

// TestVersionComesWithTheLastStreams guards against a version that is published while streams
// from before are not recorded, since they don't fit into one change.
func TestVersionComesWithTheLastStreams(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1)
	var streams []Stream
	for s := range Stream(maxChangeStreams + 10) {
		streams = append(streams, s+1)
	}
	k.Report(start, []Batch{batch(v1, streams...)}, notRecorded)
	is.True(!k.List(start, v2))
	first := k.Next()
	is.Equal(len(first.Begun[0].Streams), maxChangeStreams)
	is.Equal(len(first.Add), 0)
	history.Apply(start, first)
	k.Done(first, history)
	second := k.Next()
	is.Equal(len(second.Begun[0].Streams), 10)
	is.Equal(second.Add, []Version{v2})
}

// TestUpgradedHistoryIsIncomplete guards against proof by the only recorded version after
// leaders that recorded none: their streams may have begun at others.
func TestUpgradedHistoryIsIncomplete(t *testing.T) {
	is := is.New(t)
	history := &History{}
	history.Initialize()
	k := NewKeeper(start, history)
	is.True(!k.List(start, v1))
	change := k.Next()
	history.Apply(start, change)
	k.Done(change, history)
	is.True(k.List(start, v1))
	_, answer := k.Find(1, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unknown)
	k.Report(start, []Batch{batch(v1, 2)}, notRecorded)
	is.True(k.Pending()) // streams are recorded one by one
	change = k.Next()
	history.Apply(start, change)
	k.Done(change, history)
	_, ok := k.Removal(start.Add(MinVersionRetention), MinVersionRetention)
	is.True(!ok)
	later := start.Add(MinVersionRetention + 1)
	k.List(later, v1)
	change, ok = k.Removal(later, MinVersionRetention)
	is.True(ok)
	is.Equal(change, Change{
		Complete: true,
	})
	history.Apply(later, change)
	k.Done(change, history)
	_, answer = k.Find(1, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unconfirmed)
}

// TestVersionIsRemovedLate checks that a version stays recorded for the retention after it was
// listed last, and after a change of leader.
func TestVersionIsRemovedLate(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1, v2)
	for at := start; at.Before(start.Add(3 * MinVersionRetention)); at = at.Add(time.Minute) {
		k.List(at, v2)
		if at.Before(start.Add(MinVersionRetention)) {
			k.List(at, v1)
		}
		change, ok := k.Removal(at, MinVersionRetention)
		if !ok {
			continue
		}
		is.Equal(change.Remove, []Version{v1})
		is.True(at.Sub(start) > 2*MinVersionRetention-2*time.Minute)
		history.Apply(at, change)
		k.Done(change, history)
	}
	name, ok := history.Single("llm")
	is.True(ok)
	is.Equal(name, "v2")
}

// TestUnversionedReportEndsTheProof guards against a gateway that has the list of a leader of
// an older build, which states no versions: its streams are recorded without one.
func TestUnversionedReportEndsTheProof(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1)
	k.Report(start, []Batch{batch(Version{
		Service: "llm",
	}, 9)}, notRecorded)
	_, answer := k.Find(9, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unknown)
	_, answer = k.Find(1, "llm", only("llm"), Origin{}, false)
	is.Equal(answer, Unknown)
	history.Apply(start, k.Next())
	_, single := history.Single("llm")
	is.True(!single)
}

// TestFindOfAnotherService guards against a stream that goes on at another service, which a
// route has moved to.
func TestFindOfAnotherService(t *testing.T) {
	is := is.New(t)
	k, _ := newKeeper(v1)
	k.Report(start, []Batch{batch(v1, 1)}, notRecorded)
	_, answer := k.Find(1, "desk", only("desk"), Origin{}, false)
	is.Equal(answer, Unknown)
	recorded := Origin{
		Service: "llm",
		Version: "v2",
	}
	_, answer = k.Find(1, "llm", only("llm"), recorded, true) // two origins
	is.Equal(answer, Unknown)
	o, answer := k.Find(2, "llm", only("llm"), recorded, true)
	is.Equal(answer, Found)
	is.Equal(o, recorded)
	o, answer = k.Find(2, "desk", func(string) bool { return true }, recorded, true) // weights have changed
	is.Equal(answer, Found)
	is.Equal(o, recorded)
}

// TestVersionListedDuringItsRemovalIsAddedAgain guards against a version that is published while
// a change under way removes it from the history.
func TestVersionListedDuringItsRemovalIsAddedAgain(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1, v2)
	later := start.Add(MinVersionRetention + 1)
	is.True(k.List(later, v1))
	change, ok := k.Removal(later, MinVersionRetention)
	is.True(ok)
	is.True(!k.List(later, v2))
	history.Apply(later, change)
	k.Done(change, history)
	is.True(!k.List(later, v2))
	change = k.Next()
	history.Apply(later, change)
	k.Done(change, history)
	is.True(k.List(later, v2))
	is.True(history.Knows(v2))
}

// TestVersionStaysWhileTheListIsUnreadable guards against a leader that can't read the platform's
// list for long and removes the versions of upstreams which the gateways go on using: the next
// version to be listed would count as the only one.
func TestVersionStaysWhileTheListIsUnreadable(t *testing.T) {
	is := is.New(t)
	k, history := newKeeper(v1, v2)
	later := start.Add(MinVersionRetention + 1)
	is.True(k.List(later, v1))
	for at := later; at.Before(later.Add(2 * MinVersionRetention)); at = at.Add(time.Minute) {
		change, ok := k.Removal(at, MinVersionRetention)
		if !ok {
			continue
		}
		is.Equal(change.Remove, []Version{v2})
		history.Apply(at, change)
		k.Done(change, history)
	}
	is.True(k.List(later.Add(2*MinVersionRetention), v1))
	is.True(history.Knows(v1))
}
