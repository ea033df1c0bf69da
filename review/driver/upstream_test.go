package driver

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// deadly is the part of a path that crashes the upstream which begins to run the request.
const deadly = "/deadly"

// runEngine is an upstream in a process of its own. With --early it answers before it has read
// the bodies, without a length; these answers end with their connections. With --crash it
// crashes in the middle of such an answer.
func runEngine(args []string) {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "identifier")
	early := flags.Bool("early", false, "answer before the body was read, without a length")
	crash := flags.Bool("crash", false, "crash in the middle of each early answer")
	stream := flags.Bool("stream", false, "answer with streams of events")
	sound := flags.Bool("sound", false, "crash with no request")
	_ = flags.Parse(args) // ends the process on an error
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		switch {
		case *early:
			go serveEarly(c, *id, *crash)
		case *stream:
			go serveStream(c, *id, *sound)
		default:
			go servePlain(c, *id)
		}
	}
}

// refuseOther answers 421 if the request is meant for another upstream, and reports whether it
// did.
func refuseOther(c net.Conn, r *http.Request, id string) bool {
	if expected := r.Header.Get("Baobabpaddle-Expect-Instance"); expected == "" || expected == id {
		return false
	}
	fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBaobabpaddle-Attempt-Id: %s\r\nBaobabpaddle-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", r.Header.Get("Baobabpaddle-Attempt-Id"))
	return true
}

// servePlain serves one connection. It answers whole requests with their path.
func servePlain(c net.Conn, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || refuseOther(c, r, id) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Baobabpaddle-Attempt-Id")
		fmt.Printf("%d %s runs %s %s\n", time.Now().UnixMilli(), id, attempt, r.URL.Path)
		if strings.Contains(r.URL.Path, deadly) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBaobabpaddle-Attempt-Id: %s\r\nBaobabpaddle-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", attempt, id, attempt, len(r.URL.Path), r.URL.Path)
	}
}

// Events of a stream. An upstream that a request crashes has sent the first half of them.
const (
	streamEvents = 20
	eventPause   = 50 * time.Millisecond
)

// serveStream serves one connection. It answers whole requests with a stream of events.
func serveStream(c net.Conn, id string, sound bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || refuseOther(c, r, id) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Baobabpaddle-Attempt-Id")
		fmt.Printf("%d %s runs %s %s\n", time.Now().UnixMilli(), id, attempt, r.URL.Path)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBaobabpaddle-Attempt-Id: %s\r\nBaobabpaddle-Server-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, id, attempt)
		for n := range streamEvents {
			if n == streamEvents/2 && !sound && strings.Contains(r.URL.Path, deadly) {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(eventPause)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// serveEarly serves one connection.
func serveEarly(c net.Conn, id string, crash bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Baobabpaddle-Attempt-Id")
	if refuseOther(c, r, id) {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, readBefore); err != nil {
		return
	}
	fmt.Printf("%s begins to answer %s\n", id, attempt)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBaobabpaddle-Attempt-Id: %s\r\nBaobabpaddle-Server-Stamp: %s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	if _, err := c.Write(answerPart(attempt, 1, firstPart)); err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	if crash {
		fmt.Printf("%s crashes\n", id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = c.Write(answerPart(attempt, 2, secondPart))
	fmt.Printf("%s has answered %s\n", id, attempt)
}

// engineProcess returns an upstream's process under a new identifier.
func (f *fleet) engineProcess(i, boot int, args ...string) (*process, string) {
	id := fmt.Sprintf("i-%d%04d", i+1, boot)
	return &process{
		name:    id,
		argv:    append([]string{os.Args[0], "engine", "--listen", f.upstreamAddress(i), "--id", id}, args...),
		folder:  f.work,
		logPath: fmt.Sprintf("%s/upstream-%d.log", f.work, i+1),
	}, id
}

// keepEngine keeps an upstream of a service running: after a crash it is back two seconds
// later, under another identifier.
func (f *fleet) keepEngine(i int, service string, end <-chan struct{}, args ...string) error {
	started := make(chan error, 1)
	go func() {
		for boot := 1; ; boot++ {
			p, id := f.engineProcess(i, boot, args...)
			err := p.start()
			if boot == 1 {
				started <- err
			}
			if err != nil {
				return
			}
			f.list.set(listEntry{
				ID:      id,
				Service: service,
				Address: f.upstreamAddress(i),
				Zone:    "zone-a",
				Version: "v1",
				Slots:   6,
				State:   "ready",
			})
			select {
			case <-p.done:
				f.record.add("upstream %s crashed", id)
			case <-end:
				p.kill()
				return
			}
			time.Sleep(2 * time.Second)
		}
	}()
	return <-started
}
