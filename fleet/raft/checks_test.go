package raft

// checkRead checks that a confirmed read sees everything that was acknowledged
// before it was asked for.
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
			s.fail("replica %d: a read at %d misses %s", n.id, index, c)
		}
	}
}

// checkPrefixes checks that no two replicas have applied different commands at
// the same place.
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
			s.fail("replica %d applied %s at %d, another %s", id, n.applied[k-1], k, longest[k-1])
		}
	}
}

// checkFinalState checks that every acknowledged command is there, once, and that the
// group still makes progress.
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
		s.fail("%s was acknowledged and is gone", c)
	}
	for _, id := range s.order {
		if n := s.nodes[id]; len(longest)-len(n.applied) > 20 {
			s.fail("replica %d applied %d of %d commands", id, len(n.applied), len(longest))
		}
	}
	if len(s.acked) == 0 {
		s.fail("nothing was acknowledged")
	}
}
