package node

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
)

// maxHops bounds how often a command is forwarded, since controllers may differ on who
// leads.
const maxHops = 2

// Executor has a command executed by the leading controller, this one or another. Hops
// counts how often the command was forwarded.
type Executor interface {
	Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error)
}

// Unary implements the unary calls of rpc.Controller for nodes and other controllers.
type Unary struct {
	replica  *replica.Replica
	executor Executor
}

// NewUnary returns the calls over a replica; executor executes their commands.
func NewUnary(r *replica.Replica, executor Executor) *Unary {
	return &Unary{
		replica:  r,
		executor: executor,
	}
}

// Execute implements rpc.Controller: it has a command executed if the caller's role may
// do so. Only controllers may forward changes of resources.
func (u *Unary) Execute(ctx context.Context, request *rpc.ExecuteRequest) (*rpc.ExecuteReply, error) {
	var command state.Command
	if err := state.Decode(request.Command, &command); err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if request.Hops > maxHops {
		return nil, twirp.NewError(twirp.Unavailable, "forwarded too often")
	}
	if !mayExecute(ctx, command) {
		return nil, twirp.NewError(twirp.PermissionDenied, "the role may not do this")
	}
	result, err := u.executor.Execute(ctx, command, request.Hops)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	data, err := state.Encode(result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.ExecuteReply{
		Result: data,
	}, nil
}

// LookupTeam implements rpc.Controller: it returns a team by the hash of one of its keys
// or by its name, as of a linearizable read. It returns Unavailable if this controller
// has not reached the caller's least revision.
func (u *Unary) LookupTeam(ctx context.Context, request *rpc.LookupTeamRequest) (*rpc.LookupTeamReply, error) {
	if err := u.replica.Barrier(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &rpc.LookupTeamReply{}
	var found resource.Resource
	u.replica.View(func(s *state.State) {
		reply.Revision = s.Revision
		if request.KeyHash != "" {
			found, reply.Found = s.TeamByKey(request.KeyHash)
			return
		}
		found, reply.Found = s.Get(resource.ID{
			Kind: resource.KindTeam,
			Name: request.Name,
		})
	})
	if reply.Revision < request.MinRevision {
		return nil, twirp.NewError(twirp.Unavailable, "this controller is behind")
	}
	if !reply.Found {
		return reply, nil
	}
	data, err := json.Marshal(found)
	if err != nil {
		return nil, twirp.InternalErrorWith(merry.Prepend(err, "encode a team"))
	}
	reply.Resource = data
	return reply, nil
}

// GetClaim implements rpc.Controller: it returns a claim by its key, as of a
// linearizable read.
func (u *Unary) GetClaim(ctx context.Context, request *rpc.GetClaimRequest) (*rpc.GetClaimReply, error) {
	if err := u.replica.Barrier(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &rpc.GetClaimReply{}
	var claim state.Claim
	u.replica.View(func(s *state.State) { claim, reply.Found = s.Claims[request.Key] })
	if !reply.Found {
		return reply, nil
	}
	data, err := state.Encode(claim)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply.Claim = data
	return reply, nil
}

// Hello implements rpc.Controller. It returns Unimplemented, since these controllers
// know each other from their settings.
func (u *Unary) Hello(context.Context, *rpc.HelloRequest) (*rpc.HelloReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "members are changed by operators")
}

// Join implements rpc.Controller. It returns Unimplemented, since operators change the
// members.
func (u *Unary) Join(context.Context, *rpc.JoinRequest) (*rpc.JoinReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "members are changed by operators")
}

// RecordStreams implements rpc.Controller. It returns Unimplemented, since the gateways of this
// group keep no streams.
func (u *Unary) RecordStreams(context.Context, *rpc.RecordStreamsRequest) (*rpc.RecordStreamsReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "streams are not recorded")
}
