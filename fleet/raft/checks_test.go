package raft

// checkRead checks that a confirmed read at index sees the first floor
// acknowledged commands, which are those acknowledged before the read was
// requested.
func (s *schedule) checkRead(n *node, index uint64, floor int) {
	seen := make(map[string]bool)
	for _, other := range s.nodes {
		for _, e := range other.entries {
			if e.Index <= index && e.Kind == EntryCommand {
				seen[string(e.Data)] = true
			}
		}
		for _, c := range decodeApplied(other.snapshot.Data) {
			seen[c] = true
		}
	}
	for _, c := range s.acked[:floor] {
		if !seen[c] {
			s.fail("replica %d: read at index %d misses acknowledged command %s", n.id, index, c)
		}
	}
}

// checkPrefixes checks that no two replicas have applied different commands at
// the same position.
func (s *schedule) checkPrefixes() {
	var longest []string
	for _, id := range s.order {
		if n := s.nodes[id]; len(n.applied) > len(longest) {
			longest = n.applied
		}
	}
	for _, id := range s.order {
		n := s.nodes[id]
		if k := len(n.applied); k > 0 && n.applied[k-1] != longest[k-1] {
			s.fail("replica %d applied %s at position %d, another replica applied %s", id, n.applied[k-1], k, longest[k-1])
		}
	}
}

// checkFinalState checks at the end of a run that commands were acknowledged, that
// each of them was applied, and that every replica has nearly caught up.
func (s *schedule) checkFinalState() {
	if s.violation != "" {
		return
	}
	acked := make(map[string]int)
	for _, c := range s.acked {
		acked[c]++
	}
	var longest []string
	for _, id := range s.order {
		if n := s.nodes[id]; len(n.applied) > len(longest) {
			longest = n.applied
		}
	}
	for _, c := range longest {
		delete(acked, c)
	}
	for c := range acked {
		s.fail("acknowledged command %s was lost", c)
	}
	for _, id := range s.order {
		if n := s.nodes[id]; len(longest)-len(n.applied) > 20 {
			s.fail("replica %d applied only %d of %d commands", id, len(n.applied), len(longest))
		}
	}
	if len(s.acked) == 0 {
		s.fail("no command was acknowledged")
	}
}
