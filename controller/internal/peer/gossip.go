package peer

import (
	"context"
	"log/slog"
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

// helloTimeout bounds one greeting, so that a silent controller is asked again
// within a second.
const helloTimeout = 800 * time.Millisecond

// Peers keeps the acquaintance with the other controllers.
type Peers struct {
	credential *credential.Credential
	http       *http.Client
	log        *slog.Logger

	mu       sync.Mutex
	core     *membership.Core
	inFlight map[string]bool // addresses with a greeting under way
}

// NewPeers returns the acquaintance of a controller that starts now.
func NewPeers(self membership.Controller, seeds []string, c *credential.Credential, log *slog.Logger) *Peers {
	return &Peers{
		credential: c,
		http:       c.Client(),
		log:        log,
		core:       membership.New(self, seeds, time.Now()),
		inFlight:   make(map[string]bool),
	}
}

// Run greets the others until the context ends.
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

func (p *Peers) exchangeGossip(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := p.client(address).Hello(ctx, helloRequest(p.Gossip()))
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, address)
	if err != nil {
		return // greeted again when it is due
	}
	greeting, err := decodeGossip(reply)
	if err != nil {
		p.log.Warn("greeting not understood", "peer", address, "cause", err)
		return
	}
	p.core.Merge(time.Now(), greeting)
}

func (p *Peers) client(address string) rpc.Controller {
	return rpc.NewControllerProtobufClient(p.credential.Scheme()+"://"+address, p.http)
}

// Gossip returns what this controller tells others.
func (p *Peers) Gossip() membership.Gossip {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Gossip()
}

// withCore calls f with the core.
func (p *Peers) withCore(f func(*membership.Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.core)
}

// SetSeeds replaces the seed addresses.
func (p *Peers) SetSeeds(seeds []string) {
	p.withCore(func(c *membership.Core) { c.SetSeeds(seeds) })
}

// Group returns what is known of the replicated group.
func (p *Peers) Group() membership.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Group()
}

// OperatorAddress returns where operators reach the controller at an address.
func (p *Peers) OperatorAddress(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.OperatorAddress(address)
}

// Addresses returns the addresses of all known controllers, members first.
func (p *Peers) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Addresses()
}

// DiskControllers returns how many controllers with a disk are known.
func (p *Peers) DiskControllers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.DiskControllers()
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

// helloRequest leaves the group out: the one that is greeted need not believe it.
func helloRequest(g membership.Gossip) *rpc.HelloRequest {
	return &rpc.HelloRequest{
		Self:  encodeController(g.Self),
		Known: encodeControllers(g.Peers),
	}
}

func helloReply(g membership.Gossip) (*rpc.HelloReply, error) {
	members, err := state.Encode(g.Group.Members)
	if err != nil {
		return nil, err
	}
	return &rpc.HelloReply{
		Self:         encodeController(g.Self),
		Known:        encodeControllers(g.Peers),
		Founder:      g.Founder,
		Members:      members,
		MembersIndex: g.Group.Index,
		Leader:       g.Group.Leader,
	}, nil
}

func decodeGossip(r *rpc.HelloReply) (membership.Gossip, error) {
	var members raft.Members
	if err := state.Decode(r.GetMembers(), &members); err != nil {
		return membership.Gossip{}, merry.Prepend(err, "members")
	}
	return membership.Gossip{
		Self:    decodeController(r.GetSelf()),
		Peers:   decodeControllers(r.GetKnown()),
		Founder: r.GetFounder(),
		Group: membership.Group{
			Members: members,
			Index:   r.GetMembersIndex(),
			Leader:  r.GetLeader(),
		},
	}, nil
}
