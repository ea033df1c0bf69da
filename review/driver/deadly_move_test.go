package driver

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// execution is a line of an upstream's log.
type execution struct {
	at      time.Time
	id      string
	attempt string
	path    string
}

// executions returns what the upstreams ran, as their logs say, in no particular order.
func (f *fleet) executions(upstreams int) ([]execution, error) {
	var out []execution
	for i := range upstreams {
		log, err := os.Open(fmt.Sprintf("%s/upstream-%d.log", f.work, i+1))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) != 5 || fields[2] != "runs" {
				continue
			}
			millis, err := strconv.ParseInt(fields[0], 10, 64)
			if err != nil {
				continue
			}
			out = append(out, execution{
				at:      time.UnixMilli(millis),
				id:      fields[1],
				attempt: fields[3],
				path:    fields[4],
			})
		}
		log.Close()
	}
	return out, nil
}

// send sends a request with a short body and returns the status, or zero without a whole answer.
func (f *fleet) send(gateway int, attempt, path string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.gatewayAddress(gateway)+path, strings.NewReader("one visit"))
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set("Baobabpaddle-Attempt-Id", attempt)
	r.Header.Set("Baobabpaddle-Deadline-Ms", "4000")
	r.Header.Set("X-Api-Key", key)
	if strings.HasPrefix(path, "/ask/") {
		r.Header.Set("Baobabpaddle-Deadline-Ms", "15000")
		r.Header.Set("Baobabpaddle-Model", "m")
		r.Header.Set("Baobabpaddle-Token-Count", "800,100")
		r.Header.Set("Baobabpaddle-Prompt-Prefix", fmt.Sprintf("5c1e07a2:500,%08x:300", crc32.ChecksumIEEE([]byte(path))))
	}
	client := http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runDeadlyMove has a request come again and again that crashes each upstream which begins to run
// it. A new configuration moves its route to another service. BUDGET: such a request reaches
// upstreams in more than three retries later than StableWindowMs after its third crash.
func runDeadlyMove(f *fleet, trouble bool) (bool, error) {
	const each = 3 // upstreams of a service
	services := []string{"desk", "desk-new"}
	end := make(chan struct{})
	defer close(end)
	for i := range each * len(services) {
		if err := f.keepEngine(i, services[i/each], end); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	withRoute := func(version uint64, target string) *configuration {
		return newConfiguration(version, []service{plainService(services[0]), plainService(services[1])}, []route{
			{
				Name:            "r-book",
				Host:            host,
				PathPrefix:      "/book/",
				Kind:            "unsafe",
				TimeoutMillis:   4000,
				ObjectiveMillis: 300,
				Priority:        1,
				Service:         target,
				MaxUpstreams:    1,
			},
		})
	}
	operator := newOperator(f)
	if err := operator.replace(withRoute(1, services[0]), 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	const (
		length = 50 * time.Second
		moveAt = 15 * time.Second
		pause  = 250 * time.Millisecond
	)
	moved := !trouble
	begun := time.Now()
	sound, answered := 0, 0
	for n := 0; time.Since(begun) < length; n++ {
		if !moved && time.Since(begun) > moveAt {
			moved = true
			if err := operator.replace(withRoute(2, services[1]), 5*time.Second); err != nil {
				return false, err
			}
		}
		if begun.Add(stableWindow).Before(time.Now()) {
			id := fmt.Sprintf("dead%012x", n)
			f.record.add("caller: attempt %s for /book%s: status %d", id, deadly, f.send(n%len(f.gateways), id, "/book"+deadly))
		}
		id := fmt.Sprintf("beef%012x", n)
		sound++
		status := f.send((n+1)%len(f.gateways), id, fmt.Sprintf("/book/%d", n))
		if status == http.StatusOK {
			answered++
		} else {
			f.record.add("caller: sound attempt %s: status %d", id, status)
		}
		time.Sleep(pause)
	}
	return f.checkDeadly(each*len(services), sound, answered, 0)
}

// checkDeadly counts the runs of the deadly request that begin later than StableWindowMs after its
// third crash. Each upstream that runs it crashes after the given time.
func (f *fleet) checkDeadly(upstreams, sound, answered int, crashesAfter time.Duration) (bool, error) {
	const limit = 3 // retries
	all, err := f.executions(upstreams)
	if err != nil {
		return false, err
	}
	var runs []execution
	for _, e := range all {
		if strings.Contains(e.path, deadly) {
			runs = append(runs, e)
		}
	}
	slices.SortFunc(runs, func(a, b execution) int { return a.at.Compare(b.at) })
	crashed := make(map[string]bool) // by identifier; a new one after each crash
	var third time.Time
	late := 0
	for _, e := range runs {
		if len(crashed) < 3 && !crashed[e.id] {
			third = e.at.Add(crashesAfter)
		}
		crashed[e.id] = true
		counts := len(crashed) >= 3 && e.at.After(third.Add(stableWindow))
		if counts {
			late++
		}
		f.record.add("at %.3f s attempt %s crashed %s, counts as late: %v", e.at.Sub(f.record.started).Seconds(), e.attempt, e.id, counts)
	}
	f.record.add("sound requests: %d, answered 200: %d", sound, answered)
	f.record.add("upstreams crashed %d, runs of the deadly request later than %v after the third crash %d, allowed %d", len(crashed), stableWindow, late, limit)
	fmt.Printf("crashes %d, late runs %d, allowed %d; sound requests answered %d of %d\n", len(crashed), late, limit, answered, sound)
	if len(crashed) < 3 {
		return false, fmt.Errorf("only %d crashes", len(crashed))
	}
	return late > limit, nil
}
