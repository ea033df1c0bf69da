package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings of a Client.
const (
	callTimeout     = 2 * time.Second
	negativeTimeout = 2 * time.Second
	maxNegative     = 10000
)

// Errors of the calls.
var (
	// ErrUnavailable tells that no controller answered; the command may or may
	// not have been executed.
	ErrUnavailable = merry.Sentinel("no controller answered")
	// ErrUnknownTeam tells that no team has the key.
	ErrUnknownTeam = merry.Sentinel("unknown team")
)

// ClientSettings configures a Client.
type ClientSettings struct {
	// Controllers are the addresses of the controllers, preferred ones first.
	Controllers []string
	Hello       wire.Hello
}

// Client keeps a node's View current and makes the unary calls.
type Client struct {
	settings ClientSettings
	dialer   link.Dialer
	http     *http.Client
	log      *slog.Logger

	view    atomic.Pointer[View]
	teams   *Teams
	leader  atomic.Pointer[string]
	leaving atomic.Pointer[[]string]
	synced  chan struct{}
	onSync  func()

	mu       sync.Mutex // guards changes of view, and what follows
	next     int
	unknown  map[string]time.Time // deadline of a negative answer
	syncOnce sync.Once
}

// NewClient returns a client that has not connected. OnSync is called after
// each change of the view or of the leaving hosts.
func NewClient(settings ClientSettings, dialer link.Dialer, log *slog.Logger, onSync func()) *Client {
	c := &Client{
		settings: settings,
		dialer:   dialer,
		http:     dialer.Credential.Client(),
		log:      log,
		teams:    NewTeams(),
		synced:   make(chan struct{}),
		onSync:   onSync,
		unknown:  make(map[string]time.Time),
	}
	c.view.Store(NewView())
	empty := ""
	c.leader.Store(&empty)
	c.leaving.Store(&[]string{})
	return c
}

// View returns the configuration in force.
func (c *Client) View() *View { return c.view.Load() }

// Teams returns the teams that were looked up.
func (c *Client) Teams() *Teams { return c.teams }

// Leader returns the address of the leading controller as last heard, or "".
func (c *Client) Leader() string { return *c.leader.Load() }

// IsLeaving reports whether the platform lists the host as leaving.
func (c *Client) IsLeaving(host string) bool { return slices.Contains(*c.leaving.Load(), host) }

// Synced is closed when the node has a configuration no older than any that
// was accepted when it asked.
func (c *Client) Synced() <-chan struct{} { return c.synced }

// Run keeps the link to a controller until the context ends.
func (c *Client) Run(ctx context.Context) {
	link.Maintain(ctx, c.dialer, c.nextController, wire.PathNode, func(conn *link.Conn[wire.Node]) {
		hello := c.settings.Hello
		hello.Revision = c.View().Revision
		if err := conn.Send(wire.Node{
			Hello: &hello,
		}); err != nil {
			return
		}
		for {
			frame, err := conn.Receive()
			if err != nil {
				c.log.Info("controller link lost", "cause", err)
				return
			}
			c.take(frame)
		}
	})
}

// nextController goes round the controllers from one dial to the next.
func (c *Client) nextController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.settings.Controllers[c.next%len(c.settings.Controllers)]
	c.next++
	return address
}

func (c *Client) take(frame wire.Node) {
	if frame.Leader != "" {
		leader := frame.Leader
		c.leader.Store(&leader)
	}
	if frame.Leaving != nil {
		c.leaving.Store(&frame.Leaving.Hosts)
		c.onSync()
	}
	if frame.Sync != nil {
		c.apply(*frame.Sync)
	}
}

func (c *Client) apply(s wire.Sync) {
	c.mu.Lock()
	next, newer := c.view.Load().Apply(s)
	c.view.Store(next)
	if newer {
		clear(c.unknown)
		c.applyTeams(s)
	}
	c.mu.Unlock()
	c.syncOnce.Do(func() { close(c.synced) })
	if newer {
		c.onSync()
	}
}

func (c *Client) applyTeams(s wire.Sync) {
	if s.Full {
		c.teams.SetAllStale()
	}
	for _, r := range s.Resources {
		if r.Kind == resource.KindTeam {
			c.teams.Update(r)
		}
	}
}

// each calls the controllers in turn, the leader first, until one answers.
func each[T any](ctx context.Context, c *Client, call func(context.Context, rpc.Controller) (T, error)) (T, error) {
	var none T
	var cause error
	for _, address := range c.order() {
		tryCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err := call(tryCtx, rpc.NewControllerProtobufClient(c.dialer.Credential.Scheme()+"://"+address, c.http))
		cancel()
		if err == nil {
			return out, nil
		}
		cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return none, merry.Prependf(ErrUnavailable, "%v", cause)
}

func (c *Client) order() []string {
	leader := c.Leader()
	out := make([]string, 0, len(c.settings.Controllers)+1)
	if leader != "" {
		out = append(out, leader)
	}
	for _, a := range c.settings.Controllers {
		if a != leader {
			out = append(out, a)
		}
	}
	return out
}

// Execute has a command executed. ErrUnavailable leaves open whether it was.
func (c *Client) Execute(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := each(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.ExecuteReply, error) {
		return client.Execute(ctx, &rpc.ExecuteRequest{
			Command: data,
		})
	})
	if err != nil {
		return state.Result{}, err
	}
	var result state.Result
	return result, state.Decode(reply.Result, &result)
}

// Claim returns what is recorded under a key, and whether there is anything.
func (c *Client) Claim(ctx context.Context, key string) (state.Claim, bool, error) {
	reply, err := each(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.GetClaimReply, error) {
		return client.GetClaim(ctx, &rpc.GetClaimRequest{
			Key: key,
		})
	})
	if err != nil || !reply.Found {
		return state.Claim{}, false, err
	}
	var claim state.Claim
	return claim, true, state.Decode(reply.Claim, &claim)
}

// TeamByKey returns the team with the hash of a bearer key, from the view or
// else from a controller. A stale team is used when no controller answers.
func (c *Client) TeamByKey(ctx context.Context, hash string) (*Team, error) {
	known, current := c.teams.ByKey(hash)
	if current {
		return known, nil
	}
	revision := c.View().Revision
	if c.isUnknown(hash) {
		return nil, ErrUnknownTeam
	}
	reply, err := each(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.LookupTeamReply, error) {
		return client.LookupTeam(ctx, &rpc.LookupTeamRequest{
			KeyHash:     hash,
			MinRevision: revision,
		})
	})
	if err != nil && known != nil {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	return c.learnTeam(hash, known, reply)
}

func (c *Client) learnTeam(hash string, known *Team, reply *rpc.LookupTeamReply) (*Team, error) {
	if !reply.Found {
		if known != nil {
			c.teams.Remove(known.Name)
		}
		c.setUnknown(hash)
		return nil, ErrUnknownTeam
	}
	var r resource.Resource
	if err := json.Unmarshal(reply.Resource, &r); err != nil {
		return nil, merry.Prepend(err, "look up a team")
	}
	c.mu.Lock()
	c.teams.Set(r)
	if reply.Revision < c.View().Revision {
		// A change may have come and gone while the answer was under way.
		c.teams.SetStale(r.Name)
	}
	c.mu.Unlock()
	if t, _ := c.teams.ByKey(hash); t != nil {
		return t, nil
	}
	return nil, ErrUnknownTeam
}

func (c *Client) setUnknown(hash string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unknown) > maxNegative {
		clear(c.unknown)
	}
	c.unknown[hash] = time.Now().Add(negativeTimeout)
}

func (c *Client) isUnknown(hash string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unknown[hash])
}
