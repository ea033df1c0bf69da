package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
)

// TestBadRequestsReachNoUpstream sends invalid requests. Each is refused with its
// status and problem code, and none reaches an upstream.
func TestBadRequestsReachNoUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    1,
			bookings:   1,
			maxRunning: 4,
		}),
		TLS: true,
	})
	waitServing(t, f)
	base := "http://" + f.Addresses.Gateways[0]
	json := []string{"Content-Type", "application/json"}
	large := `{"model":"model","messages":[{"role":"user","content":"` + strings.Repeat("x", 2<<20) + `"}]}`
	tests := []struct {
		name, method, path, team, body string
		status                         int
		code                           problem.Code
	}{
		{"no key", "POST", "/booking/bookings", "", "{}", 401, problem.Unauthorized},
		{"unknown team", "POST", "/booking/bookings", "nobody", "{}", 401, problem.Unauthorized},
		{"unknown service", "POST", "/nothing/bookings", "team-0", "{}", 404, problem.UnknownService},
		{"unknown model", "POST", "/v1/chat/completions", "team-0", `{"model":"no","messages":[{"role":"user","content":"x"}]}`, 404, problem.UnknownService},
		{"malformed chat", "POST", "/v1/chat/completions", "team-0", `{"model":`, 400, problem.MalformedBody},
		{"chat without messages", "POST", "/v1/chat/completions", "team-0", `{"model":"model"}`, 400, problem.MalformedBody},
		{"malformed booking", "POST", "/booking/bookings", "team-0", `{"day":`, 400, problem.MalformedBody},
		{"too large", "POST", "/v1/chat/completions", "team-0", large, 413, problem.BodyTooLarge},
		{"chat by GET", "GET", "/v1/chat/completions", "team-0", "", 405, problem.MethodNotAllowed},
		{"unknown outcome", "GET", "/v1/requests/booking:none", "team-0", "", 404, problem.NotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := call(t.Context(), test.method, base+test.path, test.team, test.body, json...)
			is.NoErr(r.err)
			is.Equal(r.status, test.status)
			is.Equal(r.problem().Code, test.code)
			is.Equal(r.header.Get("Content-Type"), problem.ContentType)
		})
	}
	is.Equal(sendTruncatedBody(t, f.Addresses.Gateways[0]), "HTTP/1.1 400 Bad Request")
	is.Equal(len(runsByBody(t, f)), 0)
	served := call(t.Context(), http.MethodGet, upstreamOf(t, f, "llm-0").URL+"/served", "", "")
	is.Equal(strings.TrimSpace(string(served.body)), "0")
}

// sendTruncatedBody sends a shorter body than its Content-Length declares and returns the
// status line of the answer.
func sendTruncatedBody(t *testing.T, gateway string) string {
	t.Helper()
	c, err := net.Dial("tcp", gateway)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /booking/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-team-0\r\nContent-Length: 100\r\n\r\n{}")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// TestCallsWithoutCredentialAreRefused calls the internal listeners of controllers and
// sidecars without a credential and with a wrong one.
func TestCallsWithoutCredentialAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   1,
			maxRunning: 4,
		}),
	})
	sidecar := upstreamOf(t, f, "booking-0").Sidecar
	for _, url := range []string{
		"http://" + f.Addresses.Controllers[0] + "/v1/status",
		"http://" + f.Addresses.Controllers[0] + "/link/replica",
		"http://" + f.Addresses.Controllers[0] + "/link/node",
		"http://" + sidecar + "/v1/run/1/1",
		"http://" + sidecar + "/link/work",
	} {
		is.Equal(call(t.Context(), http.MethodGet, url, "", "").status, http.StatusUnauthorized)
		wrong := call(t.Context(), http.MethodGet, url, "nobody", "", "Baobab-Role", "operator")
		is.Equal(wrong.status, http.StatusUnauthorized)
	}
}

// TestConcurrentStreamsStaySeparate streams 200 answers at once through two gateways. Each
// caller receives its own answer, complete and without tokens of another.
func TestConcurrentStreamsStaySeparate(t *testing.T) {
	t.Parallel()
	const streams, tokens = 200, 20
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    4,
			bookings:   1,
			maxRunning: 16,
		}),
	})
	waitServing(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	wait := startStreams(ctx, t, f, streams, tokens)
	wait()
}

// TestGracefulShutdownCompletesRequests sends SIGTERM to a gateway and a sidecar under
// load. Requests in flight are answered completely, and both processes exit without error.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams, tokens = 24, 150
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    2,
			bookings:   1,
			maxRunning: 16,
		}),
	})
	waitServing(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	wait := startStreams(ctx, t, f, streams, tokens)
	eventually(t, "streams begin", func() bool { return requestsServed(t, f, "llm-0")+requestsServed(t, f, "llm-1") == streams })
	sidecar := f.Sidecars[upstreamOf(t, f, "llm-0").Sidecar]
	is.NoErr(f.Gateways[0].Signal(syscall.SIGTERM))
	is.NoErr(sidecar.Signal(syscall.SIGTERM))
	wait()
	for _, p := range []*local.Process{f.Gateways[0], sidecar} {
		select {
		case <-p.Done():
		case <-time.After(waitTimeout):
			t.Fatalf("%s did not end", p.Name)
		}
		_, err := p.Exited()
		is.NoErr(err)
	}
	// The other gateway and sidecar keep serving.
	is.NoErr(checkChat(chat(ctx, f.Addresses.Gateways[1], "team-0", "after", 5), "after", 5))
}

// requestsServed returns how many requests a stand-in engine has started to run.
func requestsServed(t *testing.T, f *local.Fleet, upstream string) int {
	t.Helper()
	n := 0
	r := call(context.Background(), http.MethodGet, upstreamOf(t, f, upstream).URL+"/served", "", "")
	if _, err := fmt.Sscan(string(r.body), &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// TestLeavingHostGetsNoNewRequests makes the platform list a host as leaving. Its engine
// receives no new requests until the host is listed as staying again.
func TestLeavingHostGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    2,
			bookings:   1,
			maxRunning: 4,
		}),
	})
	waitServing(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	is.NoErr(f.SetLeaving("host-llm-0"))
	// The change takes effect when the fleet next reads the platform's list: wait for
	// a burst of requests none of which reaches the host.
	burst := func() int {
		before := requestsServed(t, f, "llm-0")
		startStreams(ctx, t, f, 8, 3)()
		return requestsServed(t, f, "llm-0") - before
	}
	eventually(t, "no new work", func() bool { return burst() == 0 })
	for range 3 {
		is.Equal(burst(), 0)
	}
	is.NoErr(f.SetLeaving()) // no host is leaving any more
	eventually(t, "work again", func() bool { return burst() > 0 })
}
