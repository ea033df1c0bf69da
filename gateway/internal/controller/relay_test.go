package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/state"
)

// fakeFollower is a controller that doesn't lead. It records streams, or holds them, or doesn't
// answer.
type fakeFollower struct {
	rpc.Controller // nil: only RecordStreams is called
	records        bool
	answers        bool
	delay          time.Duration // of answers
	address        string

	mu      sync.Mutex
	streams map[origin.Stream]string // their versions
}

func (f *fakeFollower) RecordStreams(ctx context.Context, request *rpc.RecordStreamsRequest) (*rpc.RecordStreamsReply, error) {
	if !f.answers {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var batches []origin.Batch
	if err := state.Decode(request.Batches, &batches); err != nil {
		return nil, err
	}
	f.record(batches)
	time.Sleep(f.delay)
	return &rpc.RecordStreamsReply{
		Recorded: f.records,
	}, nil
}

func (f *fakeFollower) record(batches []origin.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range batches {
		for _, s := range b.Streams {
			f.streams[s] = b.Version
		}
	}
}

func (f *fakeFollower) has(s origin.Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams[s] == "v1"
}

func startFollower(t *testing.T, answers, records bool) *fakeFollower {
	t.Helper()
	f := &fakeFollower{
		answers: answers,
		records: records,
		streams: make(map[origin.Stream]string),
	}
	calls := rpc.NewControllerServer(f)
	mux := http.NewServeMux()
	mux.Handle(calls.PathPrefix(), calls)
	server := httptest.NewServer(mux)
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// reportBegun reports a stream that began at v1.
func reportBegun(l *Link, s origin.Stream) {
	l.ReportBegun(s, origin.Origin{
		Service: "desk",
		Version: "v1",
	})
}

// TestStreamsAreRelayedWithoutLink guards against streams that can't be resumed since their gateway
// had no link to the leader when they began, and ended before it had one.
func TestStreamsAreRelayedWithoutLink(t *testing.T) {
	is := is.New(t)
	silent, follower := startFollower(t, false, false), startFollower(t, true, true)
	l := startLink(t, []string{silent.address, follower.address}, time.Minute)
	for s := range origin.Stream(3) {
		reportBegun(l, s+1)
		eventually(t, "not relayed", func() bool { return follower.has(s + 1) })
	}
	is.Equal(l.View().Leader, "")
}

// TestRelayedStreamsDontWait guards against streams that are lost with their gateway since it waited
// for the answer about those before: the leader's disk is slow, or there is no leader.
func TestRelayedStreamsDontWait(t *testing.T) {
	is := is.New(t)
	follower := startFollower(t, true, true)
	follower.delay = 800 * time.Millisecond
	l := startLink(t, []string{follower.address}, time.Minute)
	for s := range origin.Stream(4) {
		reportBegun(l, s+1)
		reported := time.Now()
		eventually(t, "not relayed", func() bool { return follower.has(s + 1) })
		is.True(time.Since(reported) < follower.delay/2)
	}
}

// TestStreamsAreRelayedUntilConfirmed guards against streams that are lost with a leader that
// receives the reports of a gateway and is cut off from the others: it confirms nothing.
func TestStreamsAreRelayedUntilConfirmed(t *testing.T) {
	is := is.New(t)
	leader, follower := startLeader(t), startFollower(t, true, true)
	l := startLink(t, []string{leader.address, follower.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	reportBegun(l, 1)
	time.Sleep(2 * pingInterval)
	is.True(!follower.has(1)) // the leader has confirmed it
	leader.set(func(l *fakeLeader) { l.ignoresPings = true })
	reportBegun(l, 2)
	eventually(t, "not relayed", func() bool { return follower.has(2) })
	is.True(!follower.has(1))
}

// TestStreamsAreHeldOnTwoOtherHosts guards against streams that only the controller on the gateway's
// own host holds, which is lost together with it, while there is no leader.
func TestStreamsAreHeldOnTwoOtherHosts(t *testing.T) {
	is := is.New(t)
	calls := map[string]int{}
	var mu sync.Mutex
	r := relay{
		host: "10.0.0.1",
		call: func(_ context.Context, address string, _ []byte) (bool, error) {
			mu.Lock()
			defer mu.Unlock()
			calls[address]++
			return false, nil
		},
	}
	deliver := func(addresses ...string) relayed {
		return r.deliver(context.Background(), r.order(addresses), nil)
	}
	is.Equal(deliver("10.0.0.1:7400", "10.0.0.2:7400"), relayed{})
	is.Equal(calls, map[string]int{
		"10.0.0.1:7400": 1,
		"10.0.0.2:7400": 1,
	})
	clear(calls)
	is.Equal(deliver("10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"), relayed{
		held: true,
	})
	is.Equal(calls["10.0.0.2:7400"]+calls["10.0.0.3:7400"], 2)
}
