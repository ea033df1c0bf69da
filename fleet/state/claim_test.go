package state

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func claimCommand(digest, nonce, incarnation string) Command {
	return Command{
		Time: epoch,
		Claim: &ClaimRequest{
			Key:         "team:service:key",
			Digest:      digest,
			Sidecar:     "sidecar-1",
			Incarnation: incarnation,
			Nonce:       nonce,
		},
	}
}

func finishCommand(to ClaimState) Command {
	return Command{
		Time: epoch,
		Finish: &Finish{
			Key:     "team:service:key",
			Attempt: 1,
			State:   to,
			Answer: &Answer{
				Status: 201,
				Body:   []byte("booked"),
			},
		},
	}
}

func startCommand(incarnation string) Command {
	return Command{
		Time: epoch,
		Start: &SidecarStart{
			Sidecar:     "sidecar-1",
			Incarnation: incarnation,
		},
	}
}

// TestClaimRunsOnce guards against a second run of a request whose answer was lost
// or that two gateways claim.
func TestClaimRunsOnce(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(s.Apply(1, claimCommand("d", "n1", "a")).Code, CodeInvalid) // the sidecar is not registered
	s.Apply(2, startCommand("a"))
	is.Equal(s.Apply(3, claimCommand("d", "n1", "a")).Code, CodeOK)
	is.Equal(s.Apply(4, claimCommand("d", "n1", "a")).Code, CodeOK)           // a retry after a lost answer
	is.Equal(s.Apply(5, claimCommand("d", "n2", "a")).Code, CodeClaimSettled) // another claimant
	is.Equal(s.Apply(6, claimCommand("other", "n3", "a")).Code, CodeKeyReused)
	is.Equal(s.Apply(7, finishCommand(ClaimDone)).Code, CodeOK)
	again := s.Apply(8, claimCommand("d", "n4", "a"))
	is.Equal(again.Code, CodeClaimSettled)
	is.Equal(string(again.Claim.Answer.Body), "booked") // the recorded answer
	is.Equal(s.Apply(9, finishCommand(ClaimNotRun)).Code, CodeClaimSettled)
}

// TestClaimAgainAfterNotRun checks that a key may be claimed again once its request
// is proved not to have run, but not by a late copy of the first claim.
func TestClaimAgainAfterNotRun(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, startCommand("a"))
	s.Apply(2, claimCommand("d", "n1", "a"))
	s.Apply(3, finishCommand(ClaimNotRun))
	is.Equal(s.Apply(4, claimCommand("d", "n1", "a")).Code, CodeClaimSettled) // a late copy of the first claim
	second := s.Apply(5, claimCommand("d", "n2", "a"))
	is.Equal(second.Code, CodeOK)
	is.Equal(second.Claim.Attempt, uint64(2))
	is.Equal(s.Apply(6, finishCommand(ClaimDone)).Code, CodeClaimSettled) // of the first attempt
}

// TestClaimUnknownAfterSidecarRestart guards against a second run of a request that
// a restarted sidecar may have run.
func TestClaimUnknownAfterSidecarRestart(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, startCommand("a"))
	s.Apply(2, claimCommand("d", "n1", "a"))
	s.Apply(3, startCommand("b"))
	is.Equal(s.Claims["team:service:key"].State, ClaimUnknown)
	is.Equal(s.Apply(4, claimCommand("d", "n2", "b")).Code, CodeClaimSettled) // never sent again
	is.Equal(s.Apply(5, claimCommand("d", "n3", "a")).Code, CodeClaimSettled)
	is.Equal(s.Apply(6, finishCommand(ClaimDone)).Code, CodeOK) // a late outcome is still recorded
}

// TestClaimsExpireAndAnswersAreBounded guards against unbounded growth of the state.
func TestClaimsExpireAndAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, startCommand("a"))
	s.Apply(2, claimCommand("d", "n1", "a"))
	large := finishCommand(ClaimDone)
	large.Finish.Answer.Body = make([]byte, MaxAnswerBytes+1)
	finished := s.Apply(3, large)
	is.True(finished.Claim.Answer.Dropped)
	is.Equal(finished.Claim.Answer.Status, 201)
	later := startCommand("a")
	later.Time = epoch.Add(ClaimRetention + time.Second)
	s.Apply(4, later)
	is.Equal(len(s.Claims), 0)
}
