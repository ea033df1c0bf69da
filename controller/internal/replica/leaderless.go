package replica

import (
	"fmt"
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// Reasons why a replica knows no leader.
const (
	reasonNoGroup    = "the replica is not a member of a group yet"
	reasonNotVoter   = "the replica is not a voter and waits for the voters to elect a leader"
	reasonFewLinks   = "fewer voters than a majority are linked"
	reasonFewerVotes = "a majority of the voters is linked and has not granted its votes"
)

// leaderlessReason returns why a replica with the status knows no leader. linked are the
// replicas with an open link.
func leaderlessReason(s Status, linked []uint64) string {
	if len(s.Members.List) == 0 {
		return reasonNoGroup
	}
	if !s.Members.IsVoter(s.ReplicaID) {
		return reasonNotVoter
	}
	if !s.Members.Majority(func(id uint64) bool { return id == s.ReplicaID || slices.Contains(linked, id) }) {
		return reasonFewLinks
	}
	return reasonFewerVotes
}

// linkedVoters returns the number of voters that the replica can exchange messages with,
// itself included if it is a voter.
func linkedVoters(s Status, linked []uint64) int {
	count := 0
	for _, m := range s.Members.List {
		if m.Voter && (m.ID == s.ReplicaID || slices.Contains(linked, m.ID)) {
			count++
		}
	}
	return count
}

// describeMembers returns the members for a log line, each with its address.
func describeMembers(members raft.Members) []string {
	out := make([]string, len(members.List))
	for i, m := range members.List {
		kind := "learner"
		switch {
		case m.Voter && m.ID == members.Leaving:
			kind = "voter leaving"
		case m.Voter && m.ID == members.Joining:
			kind = "voter joining"
		case m.Voter:
			kind = "voter"
		}
		if m.Superseded {
			kind += " superseded"
		}
		out[i] = fmt.Sprintf("%d %s %s", m.ID, m.Address, kind)
	}
	return out
}

// linked returns the replicas with an open link, in ascending order.
func (n *network) linked() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []uint64
	for id := range n.outbound {
		out = append(out, id)
	}
	for id := range n.inbound {
		if _, ok := n.outbound[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// watchLeader logs what the replica believes of its group at each call while no leader
// has been known since the call before.
func (n *network) watchLeader(now time.Time) {
	s := n.replica.Status()
	if s.Leader != 0 {
		n.leaderlessSince = time.Time{}
		return
	}
	if n.leaderlessSince.IsZero() {
		n.leaderlessSince = now
		return
	}
	linked := n.linked()
	n.replica.log.Warn("no leader is known", "replica", s.ReplicaID, "disk", n.replica.store.Identity().DiskID,
		"leaderless_ms", now.Sub(n.leaderlessSince).Milliseconds(), "reason", leaderlessReason(s, linked),
		"role", s.Role, "term", s.Term, "vote", s.Vote, "votes", s.Votes, "quorum", s.Members.Quorum(),
		"linked", linked, "members", describeMembers(s.Members), "committed_members_index", s.CommittedMembersIndex,
		"last_index", s.LastIndex, "commit", s.Commit)
}

// LinkedVoters returns the number of voters that this replica can exchange messages with,
// itself included if it is a voter.
func (r *Replica) LinkedVoters() int { return linkedVoters(r.Status(), r.network.linked()) }

// logMembers logs a membership that is new or newly committed.
func (r *Replica) logMembers(before, now *Status) {
	if now.MembersIndex != before.MembersIndex {
		r.network.noteMembers()
		r.log.Info("members changed", "index", now.MembersIndex, "committed", now.MembersIndex <= now.Commit,
			"members", describeMembers(now.Members), "removed", len(now.Members.Removed))
	} else if now.MembersIndex > before.Commit && now.MembersIndex <= now.Commit {
		r.log.Info("members committed", "index", now.MembersIndex)
	}
}
