package replica

import (
	"fmt"
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// Reasons why a replica knows no leader.
const (
	// reasonNoGroup replicas are not members of a group yet.
	reasonNoGroup = "no_group"
	// reasonNotVoter replicas wait for the voters to elect a leader.
	reasonNotVoter = "not_voter"
	// reasonFewLinks replicas are linked to fewer voters than a majority.
	reasonFewLinks = "few_links"
	// reasonSilentLinks replicas are linked to a majority of the voters and have handled no
	// message of a majority since they have known no leader.
	reasonSilentLinks = "silent_links"
	// reasonFewVotes replicas hear a majority of the voters, which has not granted its votes.
	reasonFewVotes = "few_votes"
)

// Timings of the lines about a missing leader.
const (
	// leaderlessAfter is how long no leader is known before that is logged; an election takes
	// less.
	leaderlessAfter = time.Second
	// leaderlessMaxInterval is the largest time between two lines.
	leaderlessMaxInterval = 8 * time.Second
	// heardWindow is how long after its last message a replica counts as heard. Without a
	// leader, voters send messages at least once in an election timeout.
	heardWindow = 1500 * time.Millisecond
)

// leaderlessReason returns why a replica with the status knows no leader. linked are the
// replicas with an open link, heard those of which a message was handled since it has known
// none.
func leaderlessReason(s Status, linked, heard []uint64) string {
	if len(s.Members.List) == 0 {
		return reasonNoGroup
	}
	if !s.Members.IsVoter(s.ReplicaID) {
		return reasonNotVoter
	}
	majority := func(of []uint64) bool {
		return s.Members.Majority(func(id uint64) bool { return id == s.ReplicaID || slices.Contains(of, id) })
	}
	if !majority(linked) {
		return reasonFewLinks
	}
	if !majority(heard) {
		return reasonSilentLinks
	}
	return reasonFewVotes
}

// countVoters returns the number of voters among the replicas, with the replica of the status
// itself if it is a voter.
func countVoters(s Status, among []uint64) int {
	count := 0
	for _, m := range s.Members.List {
		if m.Voter && (m.ID == s.ReplicaID || slices.Contains(among, m.ID)) {
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

// watchLeader logs what the replica believes of its group while no leader is known, at growing
// intervals. Only the goroutine of start calls it.
func (n *network) watchLeader(now time.Time) {
	s := n.replica.Status()
	if s.LeaderlessSince.IsZero() {
		n.leaderlessPace.Reset()
		return
	}
	if now.Sub(s.LeaderlessSince) >= leaderlessAfter && n.leaderlessPace.Due(now) {
		n.replica.logLeaderless(now, s, n.linked())
	}
}

// logLeaderless logs what the replica believes of its group. Numbers of voters come first and
// count the replica itself; the lists with long identifiers come last.
func (r *Replica) logLeaderless(now time.Time, s Status, linked []uint64) {
	heard := r.arrivals.since(now.Add(-heardWindow))
	fields := []any{
		"reason", leaderlessReason(s, linked, r.arrivals.since(s.LeaderlessSince)),
		"leaderless_ms", now.Sub(s.LeaderlessSince).Milliseconds(),
		"heard", countVoters(s, heard), "linked", countVoters(s, linked), "votes", len(s.Votes),
	}
	history := r.settings.History
	fields = append(fields, history.fields()...)
	fields = append(fields, "term", s.Term, "role", s.Role, "quorum", s.Members.Quorum())
	if history.Stops > 0 {
		fields = append(fields, "last_stop_ago_ms", now.Sub(history.StoppedAt).Milliseconds())
	}
	r.log.Warn("no leader is known", append(fields, "last_index", s.LastIndex, "commit", s.Commit,
		"committed_members_index", s.CommittedMembersIndex, "vote", s.Vote, "heard_from", heard, "linked_to", linked,
		"votes_of", s.Votes, "replica", s.ReplicaID, "members", describeMembers(s.Members),
		"disk", r.store.Identity().DiskID)...)
}

// leaderlessSince returns since when no leader is known at the end of a batch, or zero if one
// is. before is the status at the end of the last batch, or nil. It logs that a leader is known
// after more than leaderlessAfter.
func (r *Replica) leaderlessSince(before, now *Status) time.Time {
	since := r.settings.History.LeaderlessSince
	if before != nil {
		since = before.LeaderlessSince
	}
	if now.Leader == 0 {
		if since.IsZero() {
			return time.Now()
		}
		return since
	}
	if !since.IsZero() {
		if took := time.Since(since); took >= leaderlessAfter {
			r.log.Info("leader is known again", append([]any{"leaderless_ms", took.Milliseconds(), "term", now.Term,
				"role", now.Role, "leader", now.Leader}, r.settings.History.fields()...)...)
		}
	}
	return time.Time{}
}

// LinkedVoters returns the number of voters that this replica can exchange messages with,
// itself included if it is a voter.
func (r *Replica) LinkedVoters() int { return countVoters(r.Status(), r.network.linked()) }

// HeardVoters returns the number of voters of which this replica has lately handled a message,
// itself included if it is a voter. A follower hears the leader only.
func (r *Replica) HeardVoters() int {
	return countVoters(r.Status(), r.arrivals.since(time.Now().Add(-heardWindow)))
}

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
