package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// starvedVariable is set in the process of a server that is short of processor time.
	starvedVariable = "BAOBABPADDLE_TEST_STARVED_LISTENER"
	starvedConns    = 120
	// mostDescriptors allows for a tenth more connections and 12 other descriptors.
	mostDescriptors = starvedConns + starvedConns/10 + 12
	crowdAnswerTime = 5 * time.Second
	// crowdLateClose is how long after a whole request the close of its connection may cross it.
	crowdLateClose = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(starvedVariable) != "" {
		if err := serveStarved(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveStarved serves requests on one processor that others use until the standard input ends. It
// prints its address.
func serveStarved() error {
	runtime.GOMAXPROCS(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	limited := NewListener(l, Limits{
		Conns:     starvedConns,
		HeldBytes: 64 << 20,
	}, nil)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadAll(r.Context(), r.Body)
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(rand.N(400 * time.Millisecond))
			_, _ = w.Write(body) // the caller may have left
		}),
	}
	limited.Attach(server)
	go server.Serve(limited)
	for range 12 {
		go func() {
			for n := uint64(0); ; n++ {
				runtime.KeepAlive(n)
			}
		}()
	}
	fmt.Println(l.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	return nil
}

// crowd counts what callers get: answers, refusals, closes without an answer in time and late, and neither.
type crowd struct {
	answered, refused, closed, closedLate, waiting, notSent atomic.Int64
	descriptors                                             int // of the server at most
}

// request sends a request and reports whether it was answered, and the connection can be used again.
func (n *crowd) request(c net.Conn) bool {
	body := strings.Repeat("x", 4+rand.N(60_000))
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		n.notSent.Add(1)
		return false
	}
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(crowdAnswerTime)) // if this fails, so does the read
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		n.waiting.Add(1)
	case err != nil && time.Since(sent) > crowdLateClose:
		n.closedLate.Add(1)
	case err != nil:
		n.closed.Add(1)
	case response.StatusCode == http.StatusOK:
		n.answered.Add(1)
		return !response.Close
	default:
		n.refused.Add(1)
	}
	return false
}

// call sends requests until the end, two on a connection on average. It waits for up to twice the pause
// after a close or a refusal.
func (n *crowd) call(address string, end time.Time, pause time.Duration) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", address, crowdAnswerTime)
		if err != nil {
			n.notSent.Add(1)
			continue
		}
		answered := n.request(c)
		for answered && rand.N(2) == 0 && time.Now().Before(end) {
			answered = n.request(c)
		}
		c.Close()
		if !answered && pause > 0 {
			time.Sleep(pause + rand.N(pause))
		}
	}
}

// TestCrowdOfStarvedServer guards against requests that arrive whole and are closed late or left without
// an answer, and against descriptors beyond the limit, when more callers come than a server without
// processor time may have connections.
func TestCrowdOfStarvedServer(t *testing.T) {
	duration := 4 * time.Second
	if s := os.Getenv("BAOBABPADDLE_CROWD_SECONDS"); s != "" {
		seconds, err := strconv.Atoi(s)
		is.New(t).NoErr(err)
		duration = time.Duration(seconds) * time.Second
	}
	for _, pause := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			binary, err := os.Executable()
			is.NoErr(err)
			server := exec.Command(binary)
			server.Env = append(os.Environ(), starvedVariable+"=1")
			server.Stderr = os.Stderr
			input, err := server.StdinPipe()
			is.NoErr(err)
			output, err := server.StdoutPipe()
			is.NoErr(err)
			is.NoErr(server.Start())
			t.Cleanup(func() { _ = server.Wait() })
			t.Cleanup(func() { input.Close() })
			address, err := bufio.NewReader(output).ReadString('\n')
			is.NoErr(err)
			var n crowd
			var callers sync.WaitGroup
			end := time.Now().Add(duration)
			for range 300 {
				callers.Go(func() { n.call(strings.TrimSpace(address), end, pause) })
			}
			for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if open, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", server.Process.Pid)); err == nil {
					n.descriptors = max(n.descriptors, len(open))
				}
			}
			callers.Wait()
			t.Logf("%d answered, %d refused, %d closed without an answer, %d more of them late, %d neither, %d not sent, at most %d descriptors",
				n.answered.Load(), n.refused.Load(), n.closed.Load(), n.closedLate.Load(), n.waiting.Load(), n.notSent.Load(), n.descriptors)
			is.True(n.answered.Load() > 0)
			is.Equal(n.closedLate.Load(), int64(0))
			is.Equal(n.waiting.Load(), int64(0))
			is.True(n.descriptors <= mostDescriptors)
		})
	}
}
