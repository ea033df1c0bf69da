package state

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/resource"
)

// Limits of what a State holds.
const (
	// MaxHistory is the least number of changes that ChangesSince can return
	// once there have been as many. Fewer than twice as many are held.
	MaxHistory = 4096
	// MaxRecordedResults is the number of recent changes whose results are held for
	// retries.
	MaxRecordedResults = 8192
	// ClaimRetention is how long a claim is held after it was opened.
	ClaimRetention = 24 * time.Hour
	// MaxAnswerBytes is the largest body of a recorded answer.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes bounds the bodies of all recorded answers.
	MaxTotalAnswerBytes = 64 << 20
)

// recordedResult is the result of the first attempt of a change. Digest
// identifies the command, without its time.
type recordedResult struct {
	Digest [sha256.Size]byte `json:"digest"`
	Result Result            `json:"result"`
}

// State is the replicated state: all that must survive restarts and changes of
// the leader. Its fields are exported for the encoding of snapshots; only Apply
// changes them.
type State struct {
	// Revision grows by one with each change of a resource, and is the version
	// of the resource that changed.
	Revision  uint64                                         `json:"revision"`
	Resources map[resource.Kind]map[string]resource.Resource `json:"resources"`
	// History holds the latest changes in order, deletions as tombstones.
	History []resource.Resource `json:"history"`
	// Results holds the results of recent changes by request identifier, and
	// ResultOrder these identifiers, the oldest first.
	Results     map[string]recordedResult `json:"answered"`
	ResultOrder []string                  `json:"order"`
	// Claims holds the claims by idempotency key, and ClaimsByAge their keys in
	// the order in which they were opened.
	Claims      map[string]Claim `json:"claims"`
	ClaimsByAge []claimExpiry    `json:"claim_age"`
	// AnswersByAge holds the keys of claims with recorded answers, the oldest
	// first, and AnswerBytes the total size of their bodies.
	AnswersByAge []claimExpiry `json:"answer_age"`
	AnswerBytes  int64         `json:"answers"`
	// Leases holds the latest lease of each upstream.
	Leases map[string]Lease `json:"leases"`
	// Sidecars holds the current incarnation of each sidecar.
	Sidecars map[string]string `json:"sidecars"`
	// Disks holds the disk of each replica identifier.
	Disks map[uint64]string `json:"disks"`
	// Configuration is the configuration in force; version zero means none.
	Configuration Configuration `json:"configuration"`
	// Quarantine holds the quarantined prompt segments and requests by identifier, and
	// QuarantineRevision grows by one with each change of them.
	Quarantine         map[uint64]QuarantinedSubject `json:"quarantine"`
	QuarantineRevision uint64                        `json:"quarantine_revision"`
	// Evacuations holds the newest order about each availability zone by the zone's name, and
	// EvacuationRevision grows by one with each change of them.
	Evacuations        map[string]Evacuation `json:"evacuations"`
	EvacuationRevision uint64                `json:"evacuation_revision"`
	// Origins are the software versions that began streams.
	Origins origin.History `json:"origins"`
	// Indexes that are derived from the fields above.
	teamsByKey    map[string]string
	teamsByNumber map[uint64]string
	openClaims    map[string]map[string]bool
}

// New returns an empty state.
func New() *State {
	s := &State{}
	s.initialize()
	return s
}

// Restore decodes a snapshot. Empty data gives an empty state. It returns
// ErrEncoding for data that is not a snapshot.
func Restore(data []byte) (*State, error) {
	s := &State{}
	if len(data) > 0 {
		if err := Decode(data, s); err != nil {
			return nil, err
		}
	}
	s.initialize()
	return s, nil
}

// Snapshot returns the encoding that Restore decodes.
func (s *State) Snapshot() ([]byte, error) { return Encode(s) }

// initialize creates the maps that a new or decoded state lacks, and the indexes
// that are not part of the snapshot.
func (s *State) initialize() {
	if s.Resources == nil {
		s.Resources = make(map[resource.Kind]map[string]resource.Resource)
	}
	for _, k := range resource.Kinds {
		if s.Resources[k] == nil {
			s.Resources[k] = make(map[string]resource.Resource)
		}
	}
	if s.Results == nil {
		s.Results = make(map[string]recordedResult)
	}
	if s.Claims == nil {
		s.Claims = make(map[string]Claim)
	}
	if s.Leases == nil {
		s.Leases = make(map[string]Lease)
	}
	if s.Sidecars == nil {
		s.Sidecars = make(map[string]string)
	}
	if s.Disks == nil {
		s.Disks = make(map[uint64]string)
	}
	if s.Quarantine == nil {
		s.Quarantine = make(map[uint64]QuarantinedSubject)
	}
	if s.Evacuations == nil {
		s.Evacuations = make(map[string]Evacuation)
	}
	s.Origins.Initialize()
	s.teamsByKey = make(map[string]string)
	s.teamsByNumber = make(map[uint64]string)
	for _, r := range s.Resources[resource.KindTeam] {
		s.indexTeam(r, true)
	}
	s.openClaims = make(map[string]map[string]bool)
	for key, c := range s.Claims {
		s.indexClaim(key, c)
	}
}

// Apply executes a command and returns its result. index is the command's index
// in the log; it becomes the fencing token of a granted lease.
func (s *State) Apply(index uint64, c Command) Result {
	s.expireClaims(c.Time)
	switch {
	case c.Put != nil:
		return s.applyOnce(c, func() Result { return s.put(c.Put.Resource) })
	case c.Delete != nil:
		return s.applyOnce(c, func() Result { return s.remove(c.Delete.ID, c.Delete.Version) })
	case c.Claim != nil:
		return s.claim(c.Time, *c.Claim)
	case c.Finish != nil:
		return s.finish(*c.Finish)
	case c.Start != nil:
		return s.startSidecar(*c.Start)
	case c.Lease != nil:
		return s.grantLease(index, c.Time, *c.Lease)
	case c.Disk != nil:
		return s.bindDisk(*c.Disk)
	case c.Replace != nil:
		return s.replaceConfiguration(*c.Replace)
	case c.Quarantine != nil:
		return s.changeQuarantine(c.Time, *c.Quarantine)
	case c.Evacuation != nil:
		return s.evacuate(c.Time, *c.Evacuation)
	case c.Origins != nil:
		s.Origins.Apply(c.Time, *c.Origins)
		return Result{
			Code: CodeOK,
		}
	}
	return Result{
		Code: CodeInvalid,
	}
}

// applyOnce applies a change if its request identifier is new, and otherwise
// returns the result of the first attempt. An identifier that was used for a
// different change is refused.
func (s *State) applyOnce(c Command, change func() Result) Result {
	if c.RequestID == "" {
		return change()
	}
	untimed := c
	untimed.Time = time.Time{}
	data, err := Encode(untimed)
	if err != nil {
		return invalidResult(err)
	}
	digest := sha256.Sum256(data)
	if earlier, ok := s.Results[c.RequestID]; ok {
		if earlier.Digest != digest {
			return Result{
				Code:   CodeRequestIDReused,
				Detail: "the request id was used for another change",
			}
		}
		return earlier.Result
	}
	result := change()
	s.Results[c.RequestID] = recordedResult{
		Digest: digest,
		Result: result,
	}
	s.ResultOrder = append(s.ResultOrder, c.RequestID)
	if len(s.ResultOrder) > MaxRecordedResults {
		delete(s.Results, s.ResultOrder[0])
		s.ResultOrder = s.ResultOrder[1:]
	}
	return result
}

func invalidResult(err error) Result {
	return Result{
		Code:   CodeInvalid,
		Detail: err.Error(),
	}
}

// put creates or replaces a resource.
func (s *State) put(r resource.Resource) Result {
	if err := r.Check(); err != nil {
		return invalidResult(err)
	}
	present, exists := s.Resources[r.Kind][r.Name]
	if r.Version != present.Version {
		return s.versionConflict(present, exists)
	}
	if err := s.checkKeyHashes(r); err != "" {
		return Result{
			Code:   CodeInvalid,
			Detail: err,
		}
	}
	s.Revision++
	r.Version = s.Revision
	r.Number = s.Revision
	if exists {
		r.Number = present.Number
	}
	r.Deleted = false
	s.indexTeam(present, false)
	s.indexTeam(r, true)
	s.Resources[r.Kind][r.Name] = r
	s.appendHistory(r)
	return s.changeResult(r)
}

func (s *State) versionConflict(present resource.Resource, exists bool) Result {
	out := Result{
		Code:   CodeVersionConflict,
		Detail: "the resource has another version",
	}
	if exists {
		out.Resource = &present
	}
	return out
}

func (s *State) changeResult(r resource.Resource) Result {
	return Result{
		Code:     CodeOK,
		Resource: &r,
		Revision: s.Revision,
	}
}

// remove deletes a resource and records a tombstone in the history.
func (s *State) remove(id resource.ID, version uint64) Result {
	present, exists := s.Resources[id.Kind][id.Name]
	if !exists {
		return Result{
			Code:   CodeNotFound,
			Detail: "no such resource",
		}
	}
	if version != present.Version {
		return s.versionConflict(present, exists)
	}
	s.Revision++
	s.indexTeam(present, false)
	delete(s.Resources[id.Kind], id.Name)
	tombstone := resource.Resource{
		Kind:    id.Kind,
		Name:    id.Name,
		Version: s.Revision,
		Number:  present.Number,
		Deleted: true,
	}
	s.appendHistory(tombstone)
	return s.changeResult(tombstone)
}

// appendHistory records a change. It trims the history to MaxHistory changes
// when there are twice as many, so that the cost of copying is amortized.
func (s *State) appendHistory(r resource.Resource) {
	s.History = append(s.History, r)
	if len(s.History) >= 2*MaxHistory {
		s.History = slices.Clone(s.History[len(s.History)-MaxHistory:])
	}
}

// Get returns the resource with the identifier, and whether it exists.
func (s *State) Get(id resource.ID) (resource.Resource, bool) {
	r, ok := s.Resources[id.Kind][id.Name]
	return r, ok
}

// List returns the resources of a kind, sorted by name.
func (s *State) List(kind resource.Kind) []resource.Resource {
	return slices.SortedFunc(maps.Values(s.Resources[kind]), func(a, b resource.Resource) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// ChangesSince returns the changes after a revision in order. It returns false
// when some of them have been trimmed; the caller must list the resources again
// then.
func (s *State) ChangesSince(revision uint64) ([]resource.Resource, bool) {
	if revision >= s.Revision {
		return nil, true
	}
	first := s.Revision - uint64(len(s.History)) + 1
	if revision+1 < first {
		return nil, false
	}
	return slices.Clone(s.History[revision+1-first:]), true
}
