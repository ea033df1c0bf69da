package state

import "baobabpaddle/fleet/resource"

// decodeTeam returns the team that a resource describes, or nil for a tombstone or
// another kind.
func decodeTeam(r resource.Resource) *resource.Team {
	if r.Kind != resource.KindTeam || r.Deleted {
		return nil
	}
	decoded, err := r.Decode()
	if err != nil {
		return nil
	}
	return decoded.(*resource.Team)
}

// indexTeam adds a team to the indexes by key and by number, or removes it.
func (s *State) indexTeam(r resource.Resource, add bool) {
	team := decodeTeam(r)
	if team == nil {
		return
	}
	if add {
		s.teamsByNumber[r.Number] = r.Name
	} else {
		delete(s.teamsByNumber, r.Number)
	}
	for _, h := range team.KeyHashes {
		if add {
			s.teamsByKey[h] = r.Name
		} else {
			delete(s.teamsByKey, h)
		}
	}
}

// checkKeyHashes returns an error message if another team has one of the keys,
// or "".
func (s *State) checkKeyHashes(r resource.Resource) string {
	team := decodeTeam(r)
	if team == nil {
		return ""
	}
	for _, h := range team.KeyHashes {
		if owner, ok := s.teamsByKey[h]; ok && owner != r.Name {
			return "key_hashes: another team has the same key"
		}
	}
	return ""
}

// TeamByKey returns the team that owns the bearer key with the hash.
func (s *State) TeamByKey(hash string) (resource.Resource, bool) {
	name, ok := s.teamsByKey[hash]
	if !ok {
		return resource.Resource{}, false
	}
	r, ok := s.Resources[resource.KindTeam][name]
	return r, ok
}

// TeamByNumber returns the team with the number that was assigned to it when it
// was created.
func (s *State) TeamByNumber(number uint64) (resource.Resource, bool) {
	name, ok := s.teamsByNumber[number]
	if !ok {
		return resource.Resource{}, false
	}
	r, ok := s.Resources[resource.KindTeam][name]
	return r, ok
}
