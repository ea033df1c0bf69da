package share

// Action is what the gateway has to do for a placer: a SendDemand,
// SendDecline, Start or GiveUp.
type Action interface{ isAction() }

// SendDemand sends a demand to a sidecar.
type SendDemand struct {
	Sidecar string
	Demand  Demand
}

// SendDecline returns a grant to a sidecar.
type SendDecline struct {
	Sidecar string
	Decline Decline
}

// Start sends a request to a sidecar, with the grant or, when GrantID is zero,
// directly.
type Start struct {
	Request  Request
	Sidecar  string
	GrantID  uint64
	Upstream UpstreamID
}

func (SendDemand) isAction()  {}
func (SendDecline) isAction() {}
func (Start) isAction()       {}
func (Reject) isAction()      {}
