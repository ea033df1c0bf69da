package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// callTimeout bounds one call to another controller, so that one that doesn't answer
// is called again within a second.
const callTimeout = 800 * time.Millisecond

// Peers discovers the other controllers by gossip. It drives a membership.Core and is
// safe for concurrent use.
type Peers struct {
	credential *credential.Credential
	http       *http.Client
	log        *slog.Logger

	mu       sync.Mutex
	core     *membership.Core
	inFlight map[string]bool // addresses with a call under way
}

// NewPeers returns the peers of a controller that starts now and knows no others but
// the seeds, which are addresses. The group is to tolerate the loss of toleratedHosts.
func NewPeers(self membership.Controller, seeds []string, toleratedHosts int, c *credential.Credential, log *slog.Logger) *Peers {
	return &Peers{
		credential: c,
		http:       c.Client(),
		log:        log,
		core: membership.New(self, seeds, 2*toleratedHosts+1,
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now()),
		inFlight: make(map[string]bool),
	}
}

// Run exchanges gossip with the other controllers until the context ends.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		for _, address := range p.core.GossipTargets(now) {
			if !p.inFlight[address] {
				p.inFlight[address] = true
				go p.exchangeGossip(ctx, address)
			}
		}
		wait := p.core.Deadline().Sub(now)
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// exchangeGossip sends a controller what is known and merges its reply.
func (p *Peers) exchangeGossip(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client(address).Hello(ctx, helloRequest(p.Gossip()))
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, address)
	if err != nil {
		return // called again when the next exchange is due
	}
	gossip, err := decodeGossip(reply)
	if err != nil {
		p.log.Warn("gossip of a controller can't be decoded, ignored", "cause", err, "peer", address)
		return
	}
	before := p.core.Group()
	p.core.Merge(time.Now(), gossip)
	if after := p.core.Group(); after.Index != before.Index {
		p.log.Info("newer group known from gossip", "peer", address, "index", after.Index, "before", before.Index,
			"voters", after.Members.Voters(), "members", len(after.Members.List), "leader", after.Leader)
	}
}

// client returns a client for the calls of the controller at an address.
func (p *Peers) client(address string) rpc.Controller {
	return rpc.NewControllerProtobufClient(p.credential.Scheme()+"://"+address, p.http)
}

// Gossip returns what this controller sends to others.
func (p *Peers) Gossip() membership.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Gossip()
}

// withCore calls f with the core, under the lock.
func (p *Peers) withCore(f func(*membership.Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// SetSeeds replaces the addresses of the seeds.
func (p *Peers) SetSeeds(seeds []string) {
	p.withCore(func(c *membership.Core) { c.SetSeeds(seeds) })
}

// Group returns what is known of the replicated group.
func (p *Peers) Group() membership.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Group()
}

// OperatorAddress returns the address for operators of the controller that other
// controllers reach at address, or "" if it is not known.
func (p *Peers) OperatorAddress(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.OperatorAddress(address)
}

// ReplicaAddress returns the address at which the replica id states to be, or "" if that
// is not known.
func (p *Peers) ReplicaAddress(id uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.ReplicaAddress(id)
}

// Addresses returns the addresses of all known controllers, members first.
func (p *Peers) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Addresses()
}

// DiskControllers returns the number of controllers that may have a disk.
func (p *Peers) DiskControllers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.DiskControllers(time.Now())
}

func encodeController(c membership.Controller) *rpc.ControllerInfo {
	return &rpc.ControllerInfo{
		Address:         c.Address,
		OperatorAddress: c.OperatorAddress,
		Disk:            c.HasDisk,
		FirstStart:      c.FirstStart,
		ReplicaId:       c.ReplicaID,
	}
}

func decodeController(i *rpc.ControllerInfo) membership.Controller {
	return membership.Controller{
		Address:         i.GetAddress(),
		OperatorAddress: i.GetOperatorAddress(),
		HasDisk:         i.GetDisk(),
		FirstStart:      i.GetFirstStart(),
		ReplicaID:       i.GetReplicaId(),
	}
}

func encodeControllers(list []membership.Controller) []*rpc.ControllerInfo {
	out := make([]*rpc.ControllerInfo, len(list))
	for i, c := range list {
		out[i] = encodeController(c)
	}
	return out
}

func decodeControllers(list []*rpc.ControllerInfo) []membership.Controller {
	out := make([]membership.Controller, len(list))
	for i, info := range list {
		out[i] = decodeController(info)
	}
	return out
}

// helloRequest encodes the gossip of a request. It leaves out the replicated group,
// since the receiver need not trust the caller's; controllers take the group from
// replies only.
func helloRequest(g membership.Gossip) *rpc.HelloRequest {
	return &rpc.HelloRequest{
		Self:  encodeController(g.Self),
		Known: encodeControllers(g.Peers),
	}
}

// helloReply encodes the gossip of a reply.
func helloReply(g membership.Gossip) (*rpc.HelloReply, error) {
	members, err := state.Encode(g.Group.Members)
	if err != nil {
		return nil, err
	}
	return &rpc.HelloReply{
		Self:         encodeController(g.Self),
		Known:        encodeControllers(g.Peers),
		Members:      members,
		MembersIndex: g.Group.Index,
		Leader:       g.Group.Leader,
		LeaderTerm:   g.Group.LeaderTerm,
	}, nil
}

// decodeGossip decodes the gossip of a reply.
func decodeGossip(r *rpc.HelloReply) (membership.Gossip, error) {
	var members raft.Members
	if err := state.Decode(r.GetMembers(), &members); err != nil {
		return membership.Gossip{}, merry.Prepend(err, "decode the members of a hello reply")
	}
	return membership.Gossip{
		Self:  decodeController(r.GetSelf()),
		Peers: decodeControllers(r.GetKnown()),
		Group: membership.Group{
			Members:    members,
			Index:      r.GetMembersIndex(),
			Leader:     r.GetLeader(),
			LeaderTerm: r.GetLeaderTerm(),
		},
	}, nil
}
