package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/raft"
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

// StreamRecorder has the origins of streams recorded, and holds them until they are. Record
// reports whether they are durable.
type StreamRecorder interface {
	Record(ctx context.Context, batches []origin.Batch) bool
}

// Unary implements the unary calls of rpc.Controller for other controllers, and RecordStreams
// for gateways.
type Unary struct {
	member   *Member
	executor Executor
	streams  StreamRecorder
}

// NewUnary returns the calls served by a member; executor executes their commands and streams
// records the streams of gateways.
func NewUnary(member *Member, executor Executor, streams StreamRecorder) *Unary {
	return &Unary{
		member:   member,
		executor: executor,
		streams:  streams,
	}
}

// joinRequest returns the request to add the replica at an address to the group.
func joinRequest(id uint64, address string) *rpc.JoinRequest {
	return &rpc.JoinRequest{
		ReplicaId: id,
		Address:   address,
	}
}

// Execute implements rpc.Controller: it executes a command that another controller
// forwards.
func (u *Unary) Execute(ctx context.Context, request *rpc.ExecuteRequest) (*rpc.ExecuteReply, error) {
	var command state.Command
	if err := state.Decode(request.GetCommand(), &command); err != nil {
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	if request.GetHops() > maxHops {
		return nil, twirp.NewError(twirp.Unavailable, "forwarded too often")
	}
	result, err := u.executor.Execute(ctx, command, request.GetHops())
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

// Hello implements rpc.Controller: it merges the caller's gossip and answers with this
// controller's.
func (u *Unary) Hello(_ context.Context, request *rpc.HelloRequest) (*rpc.HelloReply, error) {
	peers := u.member.peers
	peers.withCore(func(c *membership.Core) {
		c.Merge(time.Now(), membership.Gossip{
			Self:  decodeController(request.GetSelf()),
			Peers: decodeControllers(request.GetKnown()),
		})
	})
	reply, err := helloReply(peers.Gossip())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// Join implements rpc.Controller: a leader adds the replica as a learner, or corrects the
// address of a member. Joined is true once the replica is a member at the address.
func (u *Unary) Join(ctx context.Context, request *rpc.JoinRequest) (*rpc.JoinReply, error) {
	reply := &rpc.JoinReply{
		Leader: u.member.LeaderAddress(),
	}
	r := u.member.Replica()
	if r == nil || !r.IsLeader() {
		return reply, nil
	}
	id, address := request.GetReplicaId(), request.GetAddress()
	status := r.Status()
	if member, ok := status.Members.Find(id); ok && member.Address == address {
		reply.Joined = true
		return reply, nil
	}
	change := func(m raft.Members) (raft.Members, error) { return m.Admit(id, address) }
	if err := r.ChangeMembers(ctx, change); err != nil {
		// Another change is under way, or leadership was lost.
		u.member.log.Info("replica not added to the group yet, it asks again", "cause", err, "address", address, "replica", id)
	}
	return reply, nil
}

// RecordStreams implements rpc.Controller: it records what began the streams of a gateway, or
// holds it until the leader can.
func (u *Unary) RecordStreams(ctx context.Context, request *rpc.RecordStreamsRequest) (*rpc.RecordStreamsReply, error) {
	var batches []origin.Batch
	if err := state.Decode(request.GetBatches(), &batches); err != nil {
		return nil, twirp.InvalidArgumentError("batches", err.Error())
	}
	return &rpc.RecordStreamsReply{
		Recorded: u.streams.Record(ctx, batches),
	}, nil
}

// LookupTeam implements rpc.Controller. It returns Unimplemented, since gateways of a
// fleet that discovers its members get the teams with the configuration.
func (u *Unary) LookupTeam(context.Context, *rpc.LookupTeamRequest) (*rpc.LookupTeamReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "teams are part of the configuration")
}

// GetClaim implements rpc.Controller. It returns Unimplemented, since a fleet that
// discovers its members records no claims of requests.
func (u *Unary) GetClaim(context.Context, *rpc.GetClaimRequest) (*rpc.GetClaimReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "there are no claims")
}
