package state

import (
	"time"
)

// ClaimState is the state of a claim on a non-idempotent request.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen means that the request is claimed and may be running.
	ClaimOpen ClaimState = "claimed"
	// ClaimNotRun means that the request is proved never to have run. The key
	// may be claimed again.
	ClaimNotRun ClaimState = "not_run"
	// ClaimDone means that the request ran and its answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the request was sent and its outcome is not
	// known. It is never sent again.
	ClaimUnknown ClaimState = "unknown"
)

// Answer is the recorded response to a request that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped is true when the body was never recorded, since it was too large or
	// the sidecar no longer held all of it, or was removed to stay within
	// MaxTotalAnswerBytes.
	Dropped bool `json:"dropped,omitempty"`
}

// Claim is the record under an idempotency key that lets a non-idempotent
// request run at most once. Digest identifies the request's content, Attempt
// counts from one, and Sidecar and Incarnation name the process that may run it.
type Claim struct {
	Team        string     `json:"team"`
	Service     string     `json:"service"`
	Digest      string     `json:"digest"`
	Attempt     uint64     `json:"attempt"`
	Sidecar     string     `json:"sidecar"`
	Incarnation string     `json:"incarnation"`
	State       ClaimState `json:"state"`
	Answer      *Answer    `json:"answer,omitempty"`
	Expires     time.Time  `json:"expires"`
	// Nonce is the claimant's; it distinguishes its retry from another claim.
	Nonce string `json:"nonce"`
}

// ClaimRequest asks for the right to run a request on one incarnation of one
// sidecar.
type ClaimRequest struct {
	Key         string `json:"key"`
	Team        string `json:"team"`
	Service     string `json:"service"`
	Digest      string `json:"digest"`
	Sidecar     string `json:"sidecar"`
	Incarnation string `json:"incarnation"`
	// Nonce is the claimant's. A retry repeats it, a new claim has a new one.
	Nonce string `json:"nonce"`
}

// Finish reports the outcome of one attempt of a claim.
type Finish struct {
	Key     string     `json:"key"`
	Attempt uint64     `json:"attempt"`
	State   ClaimState `json:"state"`
	Answer  *Answer    `json:"answer,omitempty"`
}

// claimExpiry is an element of a queue of claims, the oldest first.
type claimExpiry struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

func (s *State) claimResult(code Code, c Claim) Result {
	return Result{
		Code:  code,
		Claim: &c,
	}
}

// claim opens a claim. A retry with the nonce of the open claim gets that claim
// again. A nonce that was used for an attempt that did not run opens nothing,
// since the request is a late copy. Another digest under the same key is refused
// as reuse of the key.
func (s *State) claim(now time.Time, r ClaimRequest) Result {
	present, exists := s.Claims[r.Key]
	if exists && present.Digest != r.Digest {
		return s.claimResult(CodeKeyReused, Claim{
			State: present.State,
		})
	}
	if exists && present.Nonce == r.Nonce && present.State == ClaimOpen {
		return s.claimResult(CodeOK, present)
	}
	if exists && (present.State != ClaimNotRun || present.Nonce == r.Nonce) {
		return s.claimResult(CodeClaimSettled, present)
	}
	if current, ok := s.Sidecars[r.Sidecar]; !ok || current != r.Incarnation {
		return Result{
			Code:   CodeInvalid,
			Detail: "the sidecar runs under another incarnation",
		}
	}
	c := Claim{
		Team:        r.Team,
		Service:     r.Service,
		Digest:      r.Digest,
		Attempt:     present.Attempt + 1,
		Sidecar:     r.Sidecar,
		Incarnation: r.Incarnation,
		State:       ClaimOpen,
		Expires:     now.Add(ClaimRetention),
		Nonce:       r.Nonce,
	}
	s.Claims[r.Key] = c
	s.indexClaim(r.Key, c)
	s.ClaimsByAge = append(s.ClaimsByAge, claimExpiry{
		Key:     r.Key,
		Expires: c.Expires,
	})
	return s.claimResult(CodeOK, c)
}

// indexClaim updates the index of open claims by sidecar.
func (s *State) indexClaim(key string, c Claim) {
	set := s.openClaims[c.Sidecar]
	if c.State != ClaimOpen {
		delete(set, key)
		return
	}
	if set == nil {
		set = make(map[string]bool)
		s.openClaims[c.Sidecar] = set
	}
	set[key] = true
}

// finish settles an attempt. An outdated attempt and a change of a proved state
// are refused.
func (s *State) finish(f Finish) Result {
	c, ok := s.Claims[f.Key]
	if !ok {
		return Result{
			Code:   CodeNotFound,
			Detail: "no such claim",
		}
	}
	if c.Attempt != f.Attempt || !canTransition(c.State, f.State) {
		return s.claimResult(CodeClaimSettled, c)
	}
	c.State = f.State
	if f.State == ClaimDone && f.Answer != nil {
		answer := *f.Answer
		c.Answer = &answer
		s.recordAnswer(f.Key, c)
	}
	s.Claims[f.Key] = c
	s.indexClaim(f.Key, c)
	return s.claimResult(CodeOK, c)
}

// canTransition reports whether a claim may change from one state to the other.
// The proved states, done and not run, are final.
func canTransition(from, to ClaimState) bool {
	switch from {
	case ClaimOpen:
		return to == ClaimDone || to == ClaimNotRun || to == ClaimUnknown
	case ClaimUnknown:
		return to == ClaimDone || to == ClaimNotRun
	}
	return false
}

// recordAnswer bounds the memory for recorded answers: it drops the body of a
// large answer and then the oldest bodies.
func (s *State) recordAnswer(key string, c Claim) {
	if len(c.Answer.Body) > MaxAnswerBytes {
		c.Answer.Body = nil
		c.Answer.Dropped = true
	}
	s.AnswerBytes += int64(len(c.Answer.Body))
	s.AnswersByAge = append(s.AnswersByAge, claimExpiry{
		Key:     key,
		Expires: c.Expires,
	})
	for s.AnswerBytes > MaxTotalAnswerBytes && len(s.AnswersByAge) > 1 {
		s.dropAnswer(s.AnswersByAge[0].Key)
		s.AnswersByAge = s.AnswersByAge[1:]
	}
}

// dropAnswer removes the body of a claim's answer and keeps its status.
func (s *State) dropAnswer(key string) {
	c, ok := s.Claims[key]
	if !ok || c.Answer == nil {
		return
	}
	s.AnswerBytes -= int64(len(c.Answer.Body))
	c.Answer = &Answer{
		Status:      c.Answer.Status,
		ContentType: c.Answer.ContentType,
		Dropped:     true,
	}
	s.Claims[key] = c
}

// expireClaims removes claims whose retention has ended.
func (s *State) expireClaims(now time.Time) {
	for len(s.ClaimsByAge) > 0 && s.ClaimsByAge[0].Expires.Before(now) {
		key := s.ClaimsByAge[0].Key
		s.ClaimsByAge = s.ClaimsByAge[1:]
		c, ok := s.Claims[key]
		if !ok || !c.Expires.Before(now) {
			continue
		}
		s.dropAnswer(key)
		delete(s.Claims, key)
		delete(s.openClaims[c.Sidecar], key)
	}
}

// startSidecar records a sidecar's incarnation. The outcome of claims that an
// earlier incarnation left open becomes unknown, since that incarnation can no
// longer answer them.
func (s *State) startSidecar(st SidecarStart) Result {
	if s.Sidecars[st.Sidecar] != st.Incarnation {
		for key := range s.openClaims[st.Sidecar] {
			c := s.Claims[key]
			c.State = ClaimUnknown
			s.Claims[key] = c
		}
		delete(s.openClaims, st.Sidecar)
		s.Sidecars[st.Sidecar] = st.Incarnation
	}
	return Result{
		Code:     CodeOK,
		Revision: s.Revision,
	}
}
