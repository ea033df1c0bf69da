// Package forward has commands executed by the leading controller: by this one if it
// leads, by a call of the leader otherwise. Its entry point is Forwarder.
package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/state"
)

// ErrNoLeader reports that no leader is known and that the command was certainly not
// executed.
var ErrNoLeader = merry.Sentinel("no leader is known; nothing was executed")

// Proposer proposes commands at this controller's replica and knows the leader's
// address. Propose returns replica.ErrNotLeader if the command has no effect.
type Proposer interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	LeaderAddress() string
	IsLeader() bool
}

// Forwarder has commands executed by this controller's replica or by the leader.
type Forwarder struct {
	replica    Proposer
	credential *credential.Credential
	http       *http.Client
}

// New returns a forwarder that proposes commands at r and, if r doesn't lead, calls the
// leader with the credential c.
func New(r Proposer, c *credential.Credential) *Forwarder {
	return &Forwarder{
		replica:    r,
		credential: c,
		http:       c.Client(),
	}
}

// Execute has the command executed and returns its result. Hops counts how often the
// command was forwarded before. After ErrNoLeader the command was certainly not
// executed; after any other error it may have been.
func (f *Forwarder) Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error) {
	result, err := f.replica.Propose(ctx, command)
	if err == nil || !errors.Is(err, replica.ErrNotLeader) {
		return result, err
	}
	leader := f.replica.LeaderAddress()
	if leader == "" || f.replica.IsLeader() {
		return state.Result{}, ErrNoLeader
	}
	data, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	client := rpc.NewControllerProtobufClient(f.credential.Scheme()+"://"+leader, f.http)
	reply, err := client.Execute(ctx, &rpc.ExecuteRequest{
		Command: data,
		Hops:    hops + 1,
	})
	if err != nil {
		return state.Result{}, merry.Wrap(err, merry.WithMessage(describe(err)))
	}
	return result, state.Decode(reply.Result, &result)
}

// forwarded begins the description of a failed forward.
const forwarded = "forward to the leader: "

// describe returns the description of a failed forward. It names the forward once, however
// often the command was forwarded, so that the cause is near the beginning.
func describe(err error) string {
	text := err.Error()
	var remote twirp.Error
	if errors.As(err, &remote) {
		text = remote.Msg()
	}
	return forwarded + strings.TrimPrefix(text, forwarded)
}
