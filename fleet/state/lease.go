package state

import "time"

// MaxClockSkew is the largest difference tolerated between the clocks of
// controllers and sidecars.
const MaxClockSkew = 2 * time.Second

// MaxLeaseDuration is the longest duration of a lease on an upstream. Later
// deadlines are shortened to it.
const MaxLeaseDuration = time.Minute

// Lease is the right to give orders to one upstream until Deadline.
type Lease struct {
	Upstream string `json:"upstream"`
	Holder   string `json:"holder"`
	// FencingToken grows with every lease, so that orders under an older lease
	// can be refused.
	FencingToken uint64    `json:"number"`
	Deadline     time.Time `json:"deadline"`
}

// LeaseRequest asks for a lease until Deadline. CanFence is true when the
// upstream itself refuses orders with an old fencing token.
type LeaseRequest struct {
	Upstream string    `json:"upstream"`
	Holder   string    `json:"holder"`
	Deadline time.Time `json:"deadline"`
	CanFence bool      `json:"can_fence"`
}

// grantLease grants a lease with the log index as its fencing token. If the
// upstream does not check tokens, a lease of another holder must have expired
// first, by MaxClockSkew at least.
func (s *State) grantLease(index uint64, now time.Time, r LeaseRequest) Result {
	old, held := s.Leases[r.Upstream]
	if held && !r.CanFence && old.Holder != r.Holder && now.Before(old.Deadline.Add(MaxClockSkew)) {
		return Result{
			Code:   CodeLeaseHeld,
			Detail: "an earlier lease has not run out",
			Lease:  &old,
		}
	}
	deadline := r.Deadline
	if latest := now.Add(MaxLeaseDuration); deadline.After(latest) {
		deadline = latest
	}
	l := Lease{
		Upstream:     r.Upstream,
		Holder:       r.Holder,
		FencingToken: index,
		Deadline:     deadline,
	}
	s.Leases[r.Upstream] = l
	return Result{
		Code:  CodeOK,
		Lease: &l,
	}
}
