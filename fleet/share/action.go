package share

// Action is what a Placer wants the gateway to do: a SendDemand, SendDecline, Start or
// Reject.
type Action interface{ isAction() }

// SendDemand asks the gateway to send a demand to a sidecar.
type SendDemand struct {
	Sidecar string
	Demand  Demand
}

// SendDecline asks the gateway to return granted slots to a sidecar.
type SendDecline struct {
	Sidecar string
	Decline Decline
}

// Start asks the gateway to send a request to a sidecar: under the grant GrantID or, if
// that is zero, as a direct request without a grant.
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
