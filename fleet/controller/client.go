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

const (
	// callTimeout bounds one call to one controller.
	callTimeout = 2 * time.Second
	// unknownTeamTTL is how long the answer that no team has a key is cached.
	unknownTeamTTL = 2 * time.Second
	// maxUnknownTeams bounds the cache of those answers; it is cleared when full.
	maxUnknownTeams = 10000
)

// Errors of the calls.
var (
	// ErrUnavailable is returned when no controller answered. A command may have
	// been executed nonetheless.
	ErrUnavailable = merry.Sentinel("no controller answered")
	// ErrUnknownTeam is returned when no team has the key.
	ErrUnknownTeam = merry.Sentinel("unknown team")
)

// ClientSettings configures a Client.
type ClientSettings struct {
	// Controllers are the addresses of the controllers, preferred ones first.
	Controllers []string
	// Hello is the first frame on each link. Run sets its revision.
	Hello wire.Hello
}

// Client keeps the View of a node, a gateway or sidecar, up to date and makes the
// unary calls. It is safe for concurrent use.
type Client struct {
	settings ClientSettings
	dialer   link.Dialer
	http     *http.Client
	log      *slog.Logger

	view     atomic.Pointer[View]
	teams    *TeamCache
	leader   atomic.Pointer[string]
	leaving  atomic.Pointer[[]string]
	synced   chan struct{}
	onChange func()

	mu           sync.Mutex // guards replacing view, and the fields below
	nextIndex    int
	unknownUntil map[string]time.Time // expiry of negative answers, by key hash
	syncOnce     sync.Once
}

// NewClient returns a client that has not connected yet; Run connects it. onChange
// is called after each change of the view or of the list of leaving hosts.
func NewClient(settings ClientSettings, dialer link.Dialer, log *slog.Logger, onChange func()) *Client {
	c := &Client{
		settings:     settings,
		dialer:       dialer,
		http:         dialer.Credential.Client(),
		log:          log,
		teams:        NewTeamCache(),
		synced:       make(chan struct{}),
		onChange:     onChange,
		unknownUntil: make(map[string]time.Time),
	}
	c.view.Store(NewView())
	empty := ""
	c.leader.Store(&empty)
	c.leaving.Store(&[]string{})
	return c
}

// View returns the current view of the services and upstreams.
func (c *Client) View() *View { return c.view.Load() }

// Teams returns the cache of the teams that were looked up.
func (c *Client) Teams() *TeamCache { return c.teams }

// Leader returns the address of the leading controller as last received, or "".
func (c *Client) Leader() string { return *c.leader.Load() }

// IsLeaving reports whether the platform lists the host as about to be removed.
func (c *Client) IsLeaving(host string) bool { return slices.Contains(*c.leaving.Load(), host) }

// Synced returns a channel that is closed after the first sync: the view then
// includes every change that had been accepted when the link was opened.
func (c *Client) Synced() <-chan struct{} { return c.synced }

// Run keeps a link to one of the controllers open until the context ends and
// applies the frames received on it.
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
				c.log.Info("link to the controller lost, the view may be outdated", "cause", err)
				return
			}
			c.handle(frame)
		}
	})
}

// nextController returns the controllers' addresses round-robin, one for each dial.
func (c *Client) nextController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.settings.Controllers[c.nextIndex%len(c.settings.Controllers)]
	c.nextIndex++
	return address
}

// handle applies one frame from a controller. Absent fields have not changed.
func (c *Client) handle(frame wire.Node) {
	if frame.Leader != "" {
		leader := frame.Leader
		c.leader.Store(&leader)
	}
	if frame.Leaving != nil {
		c.leaving.Store(&frame.Leaving.Hosts)
		c.onChange()
	}
	if frame.Sync != nil {
		c.apply(*frame.Sync)
	}
}

// apply applies a sync to the view. A newer one also updates the cached teams and
// clears the cached negative answers, since it may define a team with such a key.
func (c *Client) apply(s wire.Sync) {
	c.mu.Lock()
	next, newer := c.view.Load().Apply(s)
	c.view.Store(next)
	if newer {
		clear(c.unknownUntil)
		c.applyTeams(s)
	}
	c.mu.Unlock()
	c.syncOnce.Do(func() { close(c.synced) })
	if newer {
		c.onChange()
	}
}

// applyTeams updates the cached teams. A full sync marks all of them stale, since
// changes of teams may have been missed before it.
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

// callInTurn calls the controllers one after the other, the leader first, until one
// answers. It returns ErrUnavailable with the last cause when none does.
func callInTurn[T any](ctx context.Context, c *Client, call func(context.Context, rpc.Controller) (T, error)) (T, error) {
	var none T
	var cause error
	for _, address := range c.callOrder() {
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

// callOrder returns the addresses of the leader, if known, and the other controllers
// in the order of the settings.
func (c *Client) callOrder() []string {
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

// Execute has a controller execute the command and returns its result. After
// ErrUnavailable it is unknown whether the command was executed.
func (c *Client) Execute(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := callInTurn(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.ExecuteReply, error) {
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

// Claim returns the claim recorded under the key, and whether there is one.
func (c *Client) Claim(ctx context.Context, key string) (state.Claim, bool, error) {
	reply, err := callInTurn(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.GetClaimReply, error) {
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

// TeamByKey returns the team with the hash of a bearer key. It uses the cache if the
// entry is current and asks a controller otherwise. If no controller answers, it
// returns the stale entry if there is one and ErrUnavailable otherwise. It returns
// ErrUnknownTeam if no team has the key.
func (c *Client) TeamByKey(ctx context.Context, hash string) (*Team, error) {
	known, current := c.teams.ByKey(hash)
	if current {
		return known, nil
	}
	revision := c.View().Revision
	if c.isUnknown(hash) {
		return nil, ErrUnknownTeam
	}
	reply, err := callInTurn(ctx, c, func(ctx context.Context, client rpc.Controller) (*rpc.LookupTeamReply, error) {
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
	return c.storeLookup(hash, known, reply)
}

// storeLookup caches the answer of a look-up and returns its team. known is the
// stale entry, or nil.
func (c *Client) storeLookup(hash string, known *Team, reply *rpc.LookupTeamReply) (*Team, error) {
	if !reply.Found {
		if known != nil {
			c.teams.Remove(known.Name)
		}
		c.setUnknown(hash)
		return nil, ErrUnknownTeam
	}
	var r resource.Resource
	if err := json.Unmarshal(reply.Resource, &r); err != nil {
		return nil, merry.Prepend(err, "decode the looked-up team")
	}
	c.mu.Lock()
	c.teams.Set(r)
	if reply.Revision < c.View().Revision {
		// The team may have changed after the answer was made. If that change was
		// applied before the answer arrived, the cache ignored it, since it did not
		// hold the team yet.
		c.teams.SetStale(r.Name)
	}
	c.mu.Unlock()
	if t, _ := c.teams.ByKey(hash); t != nil {
		return t, nil
	}
	return nil, ErrUnknownTeam
}

// setUnknown caches that no team has the hash.
func (c *Client) setUnknown(hash string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unknownUntil) > maxUnknownTeams {
		clear(c.unknownUntil)
	}
	c.unknownUntil[hash] = time.Now().Add(unknownTeamTTL)
}

// isUnknown reports whether an unexpired cache entry says that no team has the hash.
func (c *Client) isUnknown(hash string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unknownUntil[hash])
}
