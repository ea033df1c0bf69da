package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Limits of a client.
const (
	clientTimeLimit = 15 * time.Second
	clientAttempts  = 4
)

// stream is what a client received of one stream over all of its attempts.
type stream struct {
	name     string
	started  time.Time
	versions []string
	last     int // the last event
	first    string
	complete bool
	// answers are how the attempts ended.
	answers []string
	// firstTry reports whether the first attempt brought an event.
	firstTry bool
	// takenUp is when the client first tried to take the stream up, zero if it didn't, and wentOn
	// reports whether it brought an event.
	takenUp time.Time
	wentOn  bool
}

var attempts atomic.Int64

var clientTransport = &http.Transport{
	DisableKeepAlives:  true,
	DisableCompression: true,
}

// callStream sends a request for a stream to a gateway that pick returns, and takes the stream up
// at others when it breaks off, as a client does.
func callStream(ctx context.Context, r *record, name, key, path string, pick func(attempt int) *host) *stream {
	s := &stream{
		name:    name,
		started: time.Now(),
	}
	end := s.started.Add(clientTimeLimit)
	for attempt := range clientAttempts {
		if s.last > 0 && s.takenUp.IsZero() {
			s.takenUp = time.Now()
		}
		wait := s.try(ctx, r, key, path, pick(attempt), end)
		if attempt == 0 {
			s.firstTry = s.last > 0
		}
		if s.complete || wait < 0 || ctx.Err() != nil || time.Until(end) < wait {
			break
		}
		time.Sleep(wait)
	}
	r.line("client %s: events to %d, complete %v, versions %v, answers %v", s.name, s.last, s.complete, s.versions, s.answers)
	return s
}

// try makes one attempt. It returns how long the client waits before the next, or less than zero if
// it makes none.
func (s *stream) try(ctx context.Context, r *record, key, path string, h *host, end time.Time) time.Duration {
	id := fmt.Sprintf("%016x", uint64(attempts.Add(1))<<20|uint64(time.Now().UnixNano()&0xfffff))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, path), strings.NewReader(`{"stream":"`+s.name+`"}`))
	if err != nil {
		return -1
	}
	request.Host = "app.example"
	for name, value := range map[string]string{
		"Baobabpaddle-Attempt-Id":    id,
		"Baobabpaddle-Model":         "m",
		"Baobabpaddle-Token-Count":   "400,300",
		"Baobabpaddle-Prompt-Prefix": fmt.Sprintf("%x:100,%x:300", 0x5c1e07, attempts.Load()+0x10000),
		"Baobabpaddle-Deadline-Ms":   strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10),
		"X-Api-Key":                  key,
	} {
		request.Header.Set(name, value)
	}
	before := s.last
	if s.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Resumes", s.first)
	}
	r.line("client %s: attempt %s at %s, after event %d", s.name, id, h.name, s.last)
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		s.answers = append(s.answers, "no answer")
		return 20 * time.Millisecond
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 400))
		s.answers = append(s.answers, strconv.Itoa(response.StatusCode))
		r.line("client %s: attempt %s answered %d, Retry-After %q: %s", s.name, id, response.StatusCode, response.Header.Get("Retry-After"), strings.TrimSpace(string(text)))
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			return min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
		}
		return 50 * time.Millisecond
	}
	err = s.read(response.Body, id)
	if s.last > before && before > 0 {
		s.wentOn = true
	}
	if err == nil {
		s.complete = s.last == eventCount
		s.answers = append(s.answers, "200")
		return -1
	}
	s.answers = append(s.answers, "200 cut")
	return 20 * time.Millisecond
}

// read reads the events of an answer.
func (s *stream) read(body io.Reader, attempt string) error {
	reader := bufio.NewReader(body)
	id := 0
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(value, " ")
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
			if s.first == "" {
				s.first = attempt
			}
			s.last = id
		}
	}
}
