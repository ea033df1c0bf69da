package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mixedGroup is a group of the voters 1 to 3 and the learner 4, whose process is of the
// build 5d43932, which does not know the fields Superseded, Leaving and Joining.
type mixedGroup struct {
	now       time.Time
	cores     map[uint64]*Core
	linked    func(from, to uint64) bool
	committed map[uint64]map[uint64]string // by replica and index
	messages  []Message
}

// Replicas of a mixedGroup.
const (
	mixedReplicas = 4
	silentVoter   = 2
	firstLeader   = 3
	olderBuild    = 4
)

// newMixedGroup returns a group in which firstLeader is elected first.
func newMixedGroup() *mixedGroup {
	g := &mixedGroup{
		now:       epoch,
		cores:     make(map[uint64]*Core),
		linked:    func(_, _ uint64) bool { return true },
		committed: make(map[uint64]map[uint64]string),
	}
	members := Members{}
	for id := uint64(1); id <= mixedReplicas; id++ {
		members.List = append(members.List, Member{
			ID:    id,
			Voter: id < olderBuild,
		})
	}
	for _, m := range members.List {
		settings := Settings{
			ID:           m.ID,
			MaxVoters:    7,
			ReplaceAfter: 2500 * time.Millisecond,
		}
		if m.ID == firstLeader {
			settings.StartTimeout = 100 * time.Millisecond
		}
		g.committed[m.ID] = make(map[uint64]string)
		g.cores[m.ID] = New(settings, Restored{
			Snapshot: Snapshot{
				Index:   1,
				Term:    1,
				Members: members,
			},
		}, rand.New(rand.NewPCG(m.ID, 1)), g.now)
	}
	return g
}

// run advances the time by span.
func (g *mixedGroup) run(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); {
		g.now = g.now.Add(stepTime)
		for id := uint64(1); id <= mixedReplicas; id++ {
			c := g.cores[id]
			if !g.now.Before(c.Deadline()) {
				c.Tick(g.now)
			}
			c.Flush(g.now)
			out := c.TakeOutput()
			c.Persisted(g.now, c.LastIndex())
			g.messages = append(g.messages, out.Messages...)
			for _, e := range out.Committed {
				g.committed[id][e.Index] = string(e.Data)
			}
		}
		messages := g.messages
		g.messages = nil
		for _, m := range messages {
			g.deliver(m)
		}
	}
}

// deliver passes a message on. The first membership on its way to replica 1 is lost with
// the network between the replicas 1 and 2 and the replicas 3 and 4.
func (g *mixedGroup) deliver(m Message) {
	for i, e := range m.Entries {
		if e.Kind != EntryMembers {
			continue
		}
		if m.To == 1 {
			g.linked = func(from, to uint64) bool { return (from < firstLeader) == (to < firstLeader) }
		}
		if m.To == olderBuild {
			m.Entries = append([]Entry(nil), m.Entries...)
			m.Entries[i].Members = readByOlderBuild(e.Members)
		}
	}
	if g.linked(m.From, m.To) {
		g.cores[m.To].Step(g.now, m)
	}
}

// readByOlderBuild returns the fields of a membership that the build 5d43932 reads.
func readByOlderBuild(m *Members) *Members {
	out := m.Clone()
	out.Leaving = 0
	out.Joining = 0
	for i := range out.List {
		out.List[i].Superseded = false
	}
	return &out
}

// TestReplacementBesideTheOlderBuild guards against two leaders in an update of a running
// fleet: a process of the older build takes the voters after a replacement for all voters,
// while others have not heard of the replacement.
func TestReplacementBesideTheOlderBuild(t *testing.T) {
	is := is.New(t)
	const electionTime = 8 * time.Second
	g := newMixedGroup()
	g.run(time.Second)
	is.Equal(g.cores[firstLeader].Role(), Leader)
	g.linked = func(from, to uint64) bool { return from != silentVoter && to != silentVoter }
	g.run(electionTime)
	for id, c := range g.cores {
		if c.Role() == Leader {
			_, err := c.Propose(g.now, []byte{byte(id)})
			is.NoErr(err)
		}
	}
	g.run(time.Second)
	for index, data := range g.committed[1] {
		if other, ok := g.committed[olderBuild][index]; ok {
			is.Equal(data, other) // one history
		}
	}
}
