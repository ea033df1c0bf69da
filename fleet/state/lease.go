package state

import "time"

// MaxClockSkew is how far the clocks of controllers and sidecars may differ.
const MaxClockSkew = 2 * time.Second

// MaxLeaseDuration is the longest lease on an upstream.
const MaxLeaseDuration = time.Minute

// Lease is the right to give orders to one upstream.
type Lease struct {
	Upstream string `json:"upstream"`
	Holder   string `json:"holder"`
	// FencingToken is the fencing number; it only grows.
	FencingToken uint64    `json:"number"`
	Deadline     time.Time `json:"deadline"`
}

// LeaseRequest asks for a lease until Deadline. CanFence tells that the
// upstream refuses old fencing numbers itself.
type LeaseRequest struct {
	Upstream string    `json:"upstream"`
	Holder   string    `json:"holder"`
	Deadline time.Time `json:"deadline"`
	CanFence bool      `json:"can_fence"`
}

// grantLease issues a new fencing number. Where the upstream does not check
// numbers, a grantLease of another holder must have run out first.
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
