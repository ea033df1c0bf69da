package raft

import (
	"testing"

	"github.com/matryer/is"
)

// TestAppendsAreBoundedInBytes guards against appends of many large entries that no link
// carries, so that a follower never gets them.
func TestAppendsAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	const entries = 8
	c := newLeader(3, 0)
	now := epoch.Add(20 * stepTime)
	for range entries {
		_, err := c.Propose(now, make([]byte, maxAppendBytes/2))
		is.NoErr(err)
	}
	for _, p := range c.peers {
		p.probing = false
		p.next = p.match + 1
	}
	c.TakeOutput()
	c.Flush(now)
	sent := 0
	for _, m := range c.TakeOutput().Messages {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		is.True(size > 0)
		is.True(size <= maxAppendBytes)
		sent++
	}
	is.Equal(sent, 2)
}
