package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/steady"
)

const (
	// relayInterval is the interval at which unconfirmed streams are looked for, and
	// relayAgainInterval the one at which those that controllers hold are sent once more.
	relayInterval      = 100 * time.Millisecond
	relayAgainInterval = 2 * time.Second
	// pongTimeout is the age of an unanswered ping from which on the link counts as silent.
	pongTimeout = pingInterval
	// relayTimeout bounds the calls of one attempt.
	relayTimeout = time.Second
	// relayStagger is the pause between the calls of two controllers.
	relayStagger = 50 * time.Millisecond
	// minHolders is the number of controllers on other hosts that hold streams which the leader
	// can't record.
	minHolders = 2
	// maxRelayedStreams is the number of streams in one attempt, and maxRelayAttempts that of
	// attempts in flight.
	maxRelayedStreams = 8192
	maxRelayAttempts  = 2 * int(relayTimeout/relayInterval)
)

// relay has controllers that don't lead pass on what the leader doesn't get over the link.
type relay struct {
	call func(ctx context.Context, address string, batches []byte) (recorded bool, err error)
	// host is the address of this host, or empty.
	host string

	// The following fields belong to the control goroutine.

	// attempts is the number of attempts in flight. A stream doesn't wait for the answer about
	// those before: it takes a commit, and without a leader several times relayInterval.
	attempts int
	// sent is the position in Link.unconfirmed up to which all streams were in an attempt that has
	// not failed.
	sent uint64
	// again is when streams that are still unconfirmed are sent once more.
	again steady.Time
	// preferred is the controller that had streams recorded last.
	preferred string
}

// relayed is the end of an attempt to have the streams between two positions recorded.
type relayed struct {
	begin, end uint64
	// by is the controller through which they were recorded, or empty.
	by string
	// held reports whether enough controllers hold them.
	held bool
}

// newRelay returns the relay of a gateway on a host.
func newRelay(host string, c *credential.Credential) relay {
	client := c.Client()
	return relay{
		host: host,
		call: func(ctx context.Context, address string, batches []byte) (bool, error) {
			reply, err := rpc.NewControllerProtobufClient(c.Scheme()+"://"+address, client).RecordStreams(ctx, &rpc.RecordStreamsRequest{
				Batches: batches,
			})
			return reply.GetRecorded(), err
		},
	}
}

// silent reports whether there is no link to the leader, or one that doesn't answer.
func (l *Link) silent(now steady.Time) bool {
	if l.conn == nil {
		return true
	}
	for _, p := range l.pings {
		if now.Sub(p.at) > pongTimeout {
			return true
		}
	}
	return false
}

// relayStreams begins an attempt to have the unconfirmed streams recorded without the link, if
// there are some and it is silent.
func (l *Link) relayStreams(ctx context.Context) {
	now := steady.Now()
	if l.relay.attempts >= maxRelayAttempts || l.unconfirmed.Len() == 0 || !l.silent(now) {
		return
	}
	begin := max(l.relay.sent, l.unconfirmed.Begin())
	if !now.Before(l.relay.again) {
		begin = l.unconfirmed.Begin()
		l.relay.again = now.Add(relayAgainInterval)
	}
	batches, end := l.unconfirmed.From(begin, maxRelayedStreams)
	if len(batches) == 0 {
		return
	}
	data, err := state.Encode(batches)
	if err != nil {
		l.log.Error("origins of streams can't be encoded", "cause", err)
		return
	}
	l.relay.attempts++
	l.relay.sent = end
	addresses := l.relay.order(l.addresses())
	go func() {
		result := l.relay.deliver(ctx, addresses, data)
		result.begin, result.end = begin, end
		select {
		case l.events <- event{
			relayed: &result,
		}:
		case <-ctx.Done():
		}
	}()
}

// handleRelayed handles the end of an attempt.
func (l *Link) handleRelayed(r relayed) {
	l.relay.attempts--
	if r.by != "" && l.relay.preferred == "" {
		l.log.Info("streams are recorded through a controller that doesn't lead", "controller", r.by, "unconfirmed_streams", l.unconfirmed.Len())
	}
	l.relay.preferred = r.by
	switch {
	case r.by != "" && r.begin <= l.unconfirmed.Begin():
		l.unconfirmed.Confirm(r.end)
	case r.by != "" && l.relay.attempts == 0:
		l.relay.again = 0 // those before can be recorded now, too
	case r.by == "" && !r.held:
		l.relay.sent = min(l.relay.sent, r.begin)
	}
}

// order returns the addresses in the order in which they are called: the preferred one first,
// and last those of this host, which may be cut off or lost together with the gateway.
func (r *relay) order(addresses []string) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	rank := func(address string) int {
		switch {
		case address == r.preferred:
			return 0
		case r.isLocal(address):
			return 2
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
	return addresses
}

// isLocal reports whether an address is one of this host.
func (r *relay) isLocal(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == r.host
}

// deliver calls controllers, one more every relayStagger, until the streams are recorded, enough
// of them hold the streams, or all have answered.
func (r *relay) deliver(ctx context.Context, addresses []string, batches []byte) relayed {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	type answer struct {
		address  string
		recorded bool
		err      error
	}
	answers := make(chan answer, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	holders := 0
	for called, answered := 0, 0; answered < len(addresses); {
		select {
		case <-ctx.Done():
			return relayed{}
		case <-next.C:
			if called == len(addresses) {
				continue
			}
			address := addresses[called]
			called++
			next.Reset(relayStagger)
			go func() {
				recorded, err := r.call(ctx, address, batches)
				answers <- answer{
					address:  address,
					recorded: recorded,
					err:      err,
				}
			}()
		case a := <-answers:
			answered++
			switch {
			case a.recorded:
				return relayed{
					by: a.address,
				}
			case a.err != nil:
				next.Reset(0)
			case !r.isLocal(a.address):
				holders++
			}
			if holders >= minHolders {
				return relayed{
					held: true,
				}
			}
		}
	}
	return relayed{}
}
