package gateway

import (
	"context"
	"slices"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// proposeTimeout bounds the recording of quarantined subjects in the replicated state.
const proposeTimeout = 2 * time.Second

// recordedQuarantine are the quarantined subjects in a replica's state.
type recordedQuarantine struct {
	revision uint64
	subjects map[uint64]state.QuarantinedSubject // by identifier
	// proposed reports that a proposal of this controller has ended.
	proposed bool
}

// readQuarantine returns the quarantined subjects in a replica's state.
func readQuarantine(r *replica.Replica) *recordedQuarantine {
	out := &recordedQuarantine{
		subjects: make(map[uint64]state.QuarantinedSubject),
	}
	r.View(func(s *state.State) {
		out.revision = s.QuarantineRevision
		for id, q := range s.Quarantine {
			out.subjects[id] = q
		}
	})
	return out
}

// loadQuarantine starts the evidence of a new leader from the replicated state. What is
// newer comes from the gateways.
func (h *Hub) loadQuarantine() {
	h.recorded = nil
	if r := h.replicas.Replica(); r != nil {
		h.applyRecorded(readQuarantine(r))
	}
}

// applyRecorded takes over the quarantined subjects in the replicated state. A subject
// that is no longer there was released by an operator, unless this leader did so itself.
func (h *Hub) applyRecorded(next *recordedQuarantine) {
	if next.proposed {
		h.recording = false
	}
	if h.recorded != nil && next.revision <= h.recorded.revision {
		return
	}
	now := time.Now()
	register := h.scheduler.Quarantine()
	if h.recorded != nil {
		for id := range h.recorded.subjects {
			if _, ok := next.subjects[id]; !ok {
				register.Release(now, id)
			}
		}
	}
	var added []quarantine.Record
	for id, q := range next.subjects {
		if h.recorded != nil {
			if _, ok := h.recorded.subjects[id]; ok {
				continue
			}
		}
		added = append(added, quarantine.Record{
			Subject: quarantine.Subject{
				ID:   id,
				Kind: q.Kind,
				Of:   q.Of,
			},
			Rounds:     q.Rounds,
			Crashes:    q.Crashes,
			LateTrials: q.LateTrials,
			MidAnswer:  q.MidAnswer,
			TrialIn:    quarantine.NextTrialWait(q.Rounds, q.LateTrials),
			Companions: q.Companions,
			Services:   q.Services,
		})
	}
	register.Merge(now, added)
	h.recorded = next
}

// maintainQuarantine drops old evidence, and publishes and records the quarantined subjects.
func (h *Hub) maintainQuarantine(ctx context.Context, now time.Time) {
	if len(h.conns) > 0 {
		h.scheduler.WeighEvidence(now)
		h.scheduler.Quarantine().Sweep(now)
	}
	h.publishQuarantine()
	h.publishSuspects(now)
	h.recordQuarantine(ctx, now)
}

// suspectsInterval is the least pause between two changes of the suspects that gateways are sent.
const suspectsInterval = 500 * time.Millisecond

// publishSuspects sends the gateways the requests that an upstream crashed with and that are not
// quarantined. They report them to the next leader.
func (h *Hub) publishSuspects(now time.Time) {
	if now.Before(h.nextSuspects) || len(h.conns) == 0 {
		return
	}
	suspects := h.scheduler.Suspects(now)
	if slices.EqualFunc(suspects, h.suspects, func(a, b quarantine.Record) bool { return a.ID == b.ID && a.Crashes == b.Crashes }) {
		return
	}
	h.nextSuspects, h.suspects = now.Add(suspectsInterval), suspects
	for _, c := range h.conns {
		h.send(c, wire.Serve{
			Suspects:         suspects,
			SuspectsComplete: true,
		})
	}
}

// publishQuarantine logs the changes of quarantined subjects and sends them to the
// gateways.
func (h *Hub) publishQuarantine() {
	changes := h.scheduler.Quarantine().TakeChanges()
	if len(changes) == 0 || len(h.conns) == 0 {
		return
	}
	trace.LogQuarantine(h.log, changes)
	frame := wire.Serve{}
	for _, c := range changes {
		frame.Quarantine = append(frame.Quarantine, c.Record)
	}
	for _, c := range h.conns {
		h.send(c, frame)
	}
}

// recordQuarantine proposes what the replicated state lacks of the quarantined subjects,
// one proposal at a time. Subjects with weak evidence are not recorded: most of them are
// released within a second.
func (h *Hub) recordQuarantine(ctx context.Context, now time.Time) {
	if h.recording || h.recorded == nil || len(h.conns) == 0 {
		return
	}
	var change state.QuarantineChange
	held := make(map[uint64]bool)
	for _, record := range h.scheduler.Quarantine().Records(now) {
		held[record.ID] = true
		q, ok := h.recorded.subjects[record.ID]
		if !record.Confirmed() || ok && q.Rounds == record.Rounds && q.Crashes == record.Crashes && q.LateTrials == record.LateTrials {
			continue
		}
		change.Put = append(change.Put, state.QuarantinedSubject{
			ID:         record.ID,
			Kind:       record.Kind,
			Rounds:     record.Rounds,
			Crashes:    record.Crashes,
			LateTrials: record.LateTrials,
			MidAnswer:  record.MidAnswer,
			Companions: record.Companions,
			Of:         record.Of,
			Services:   record.Services,
		})
	}
	for id := range h.recorded.subjects {
		if !held[id] {
			change.Release = append(change.Release, id)
		}
	}
	r := h.replicas.Replica()
	if r == nil || len(change.Put) == 0 && len(change.Release) == 0 {
		return
	}
	h.recording = true
	go h.proposeQuarantine(ctx, r, change)
}

// proposeQuarantine proposes a change and posts the state after it. If the proposal fails,
// a later one contains the change again.
func (h *Hub) proposeQuarantine(ctx context.Context, r *replica.Replica, change state.QuarantineChange) {
	proposal, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := r.Propose(proposal, state.Command{
		Time:       time.Now(),
		Quarantine: &change,
	})
	if err != nil {
		h.log.Warn("quarantined segments not recorded, retried later", "cause", err, "segments", len(change.Put))
	}
	recorded := readQuarantine(r)
	recorded.proposed = true
	h.post(ctx, event{
		recorded: recorded,
	})
}
