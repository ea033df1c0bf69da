package program

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/telemetry"
)

// Limits of the servers that LimitedServer returns. None of them is for callers' requests.
const (
	// readTimeout bounds the time for a whole request, and writeTimeout that for its answer
	// too.
	readTimeout  = 15 * time.Second
	writeTimeout = 45 * time.Second
	// idleTimeout is how long a connection may be idle.
	idleTimeout = time.Minute
	// maxHeadBytes is the maximum size of a request's head.
	maxHeadBytes = 16 << 10
	// checkConns is the maximum number of connections for health checks and metrics, which
	// come from a few hosts. CheckHeldBytes bounds the memory for their requests, whose heads
	// take some kilobytes at most.
	checkConns     = 32
	checkHeldBytes = 2 << 20
)

// Buffers bounds what the system holds for a listener. What has arrived and is not read counts
// as memory of the process; without a bound the kernel's defaults apply, and buffers grow.
type Buffers struct {
	// ReadBytes is the receive buffer of a connection in bytes. The kernel doubles it.
	ReadBytes int
	// Backlog is the number of connections that wait to be accepted; zero means the system's
	// limit.
	Backlog int
}

var (
	// CallerBuffers are for callers, many of whom may come at once. A body of 4 MiB needs a
	// few hundred round trips.
	CallerBuffers = Buffers{
		ReadBytes: 16 << 10,
	}
	// CheckBuffers are for health checks and metrics.
	CheckBuffers = Buffers{
		ReadBytes: 16 << 10,
		Backlog:   32,
	}
	// DocumentBuffers are for connections on which whole configurations arrive.
	DocumentBuffers = Buffers{
		ReadBytes: 64 << 10,
		Backlog:   32,
	}
	// LinkBuffers are for the fleet's processes, which may all connect at once.
	LinkBuffers = Buffers{
		ReadBytes: 64 << 10,
		Backlog:   256,
	}
)

// ServerSettings configures a LimitedServer.
type ServerSettings struct {
	// Name is the name of the listener in logs and metrics.
	Name   string
	Limits connlimit.Limits
}

// CheckLimits returns the settings of a server for health checks or metrics.
func CheckLimits(name string) ServerSettings {
	return ServerSettings{
		Name: name,
		Limits: connlimit.Limits{
			Conns:     checkConns,
			HeldBytes: checkHeldBytes,
		},
	}
}

// ServeLimited serves the listener until the server is closed, and returns the server. The
// connections, heads, bodies and times are limited; those that a limit ends are counted and
// logged at growing intervals. Handlers that panic are reported by a Reporter. A nil log logs nothing.
func ServeLimited(s ServerSettings, listener net.Listener, handler http.Handler, metrics *telemetry.Metrics, log *slog.Logger) *http.Server {
	server := NewReporter(s.Name, metrics, log).Server(handler)
	server.ReadTimeout = readTimeout
	server.WriteTimeout = writeTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeadBytes
	limited := connlimit.NewListener(listener, s.Limits, ReportClosed(s.Name, metrics, log))
	limited.Attach(server)
	go server.Serve(limited)
	return server
}

// Pace of the lines about connections that limits ended.
const (
	closedLogInterval    = time.Second
	closedLogMaxInterval = 30 * time.Second
)

// ReportClosed returns a function that counts connections that a limit of the listener with the
// name ended, and logs them at growing intervals. It is safe for concurrent use.
func ReportClosed(name string, metrics *telemetry.Metrics, log *slog.Logger) func(peer netip.Addr, cause string) {
	var mu sync.Mutex
	var since int // closed since the last line
	var last time.Time
	pace := telemetry.Pace{
		First: closedLogInterval,
		Max:   closedLogMaxInterval,
	}
	return func(peer netip.Addr, cause string) {
		metrics.Counter(`connections_closed_total{listener="` + name + `",cause="` + cause + `"}`).Inc()
		if log == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		since++
		now := time.Now()
		if now.Sub(last) > closedLogMaxInterval {
			pace.Reset()
		}
		last = now
		if !pace.Due(now) {
			return
		}
		log.Warn("connections closed at a limit", "listener", name, "cause", cause, "peer", peer, "closed", since)
		since = 0
	}
}

// ListenBounded listens on a TCP address and calls BoundListener. TCP keep-alive is not used:
// time limits end connections whose peers have disappeared.
func ListenBounded(ctx context.Context, address string, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAlive: -1,
	}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := BoundListener(listener, b); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// BoundListener bounds what the system holds for connections of the listener that are not
// accepted or not read. A listener for TLS stays as it is.
func BoundListener(listener net.Listener, b Buffers) error {
	l, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	socket, err := l.SyscallConn()
	if err != nil {
		return merry.Prepend(err, "listener")
	}
	var failed error
	if err := socket.Control(func(fd uintptr) {
		if failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.ReadBytes); failed == nil && b.Backlog > 0 {
			failed = syscall.Listen(int(fd), b.Backlog)
		}
	}); err != nil {
		return merry.Prepend(err, "listener")
	}
	return merry.Prepend(failed, "receive buffer or backlog of the listener")
}
