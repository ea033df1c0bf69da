// Package evacuation follows the operators' orders to evacuate availability zones.
//
// The orders are part of the replicated state. The leader reads them as a Set and sends it
// as a Frame to the gateways. Leader and gateways each apply the newest Set that they know
// to their dispatch.Scheduler by a Follower. The package is pure: the time is passed in.
package evacuation
