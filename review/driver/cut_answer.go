package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case: a request of 4 MB, below max_body_bytes, and an answer in two parts.
const (
	longBodyBytes = 4000000
	readBefore    = 64 << 10 // of the body, before the upstream answers
	firstPart     = 500
	secondPart    = 300
)

// answerPart returns a part of the answer to an attempt.
func answerPart(id string, part, size int) []byte {
	unit := fmt.Sprintf("<%s part %d>", id, part)
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}

// runEngine is the upstream of the case, in a process of its own. It answers POST requests
// before it has read their bodies, without a length; the answers end with their connections.
// The attempts in the header Crash crash it in the middle of the answer.
func runEngine(args []string) {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "identifier")
	crash := flags.Bool("crash", false, "crash in the middle of each answer")
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
		go serveEarly(c, *id, *crash)
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
	if expected := r.Header.Get("Baobabpaddle-Expect-Instance"); expected != "" && expected != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBaobabpaddle-Attempt-Id: %s\r\nBaobabpaddle-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
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

// keepEngine keeps an upstream running: after a crash it is back a second later, under another
// identifier.
func (f *fleet) keepEngine(i int, end <-chan struct{}, args ...string) error {
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
				Service: "desk",
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
			time.Sleep(time.Second)
		}
	}()
	return <-started
}

// runCutAnswer has upstreams crash in the middle of answers without a length, while they have
// not read the whole request. MIXED: a 2xx with a body that isn't the engine's whole body.
func runCutAnswer(f *fleet, trouble bool) (bool, error) {
	const upstreams, callers, rounds = 3, 2, 20
	end := make(chan struct{})
	defer close(end)
	for i := range upstreams {
		var args []string
		if trouble {
			args = append(args, "--crash")
		}
		if err := f.keepEngine(i, end, args...); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := newConfiguration(1, []service{plainService("desk")}, []route{
		{
			Name:            "r-book",
			Host:            host,
			PathPrefix:      "/book/",
			Kind:            "unsafe",
			TimeoutMillis:   4000,
			ObjectiveMillis: 300,
			Priority:        1,
			Service:         "desk",
			MaxUpstreams:    1,
		},
	})
	if err := newOperator(f).replace(c, 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	whole, cut, other := 0, 0, map[string]int{}
	var callersDone sync.WaitGroup
	for k := range callers {
		callersDone.Go(func() {
			for n := range rounds {
				id := fmt.Sprintf("%08x%08x", k+1, n+1)
				result, bytes := f.sendLong(k%len(f.gateways), id)
				mu.Lock()
				switch result {
				case "whole":
					whole++
				case "cut":
					cut++
				default:
					other[result]++
				}
				mu.Unlock()
				f.record.add("caller %d: attempt %s: %s, %d bytes of the body", k+1, id, result, bytes)
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
	callersDone.Wait()
	f.record.add("successes with the whole body %d, with a part of it %d, other ends %v", whole, cut, other)
	fmt.Printf("successes with the whole body %d, with a part of it %d, other ends %v\n", whole, cut, other)
	if whole+cut+len(other) == 0 || !trouble && whole != callers*rounds {
		return false, fmt.Errorf("without the disruption %d of %d requests were answered", whole, callers*rounds)
	}
	return cut > 0, nil
}

// sendLong sends a request with a long body and returns what the caller sees: "whole" or "cut"
// for a success that ends as complete, or else how it failed.
func (f *fleet) sendLong(gateway int, id string) (string, int) {
	body := bytes.Repeat([]byte(id+": a photo "), longBodyBytes/(len(id)+10))
	r, err := http.NewRequest(http.MethodPost, "http://"+f.gatewayAddress(gateway)+"/book/slot", bytes.NewReader(body))
	if err != nil {
		return err.Error(), 0
	}
	r.Host = host
	r.Header.Set("Baobabpaddle-Attempt-Id", id)
	r.Header.Set("Baobabpaddle-Deadline-Ms", "4000")
	r.Header.Set("X-Api-Key", key)
	client := http.Client{
		Timeout: 6 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
	response, err := client.Do(r)
	if err != nil {
		return "no answer", 0
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode != http.StatusOK:
		return "status " + strconv.Itoa(response.StatusCode), len(got)
	case err != nil:
		return "broken off", len(got)
	case bytes.Equal(got, append(answerPart(id, 1, firstPart), answerPart(id, 2, secondPart)...)):
		return "whole", len(got)
	}
	return "cut", len(got)
}
