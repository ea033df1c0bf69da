package driver

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runDeadlyStream has a request come again and again that crashes each model engine which runs it,
// half a second after the first event of its stream. BUDGET: such a request reaches upstreams in
// more than three retries later than StableWindowMs after its third crash.
func runDeadlyStream(f *fleet, trouble bool) (bool, error) {
	const upstreams = 4
	end := make(chan struct{})
	defer close(end)
	for i := range upstreams {
		args := []string{"--stream"}
		if !trouble {
			args = append(args, "--sound")
		}
		if err := f.keepEngine(i, "llm", end, args...); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := newConfiguration(1, []service{modelService("llm")}, []route{
		{
			Name:            "r-ask",
			Host:            host,
			PathPrefix:      "/ask/",
			Kind:            "stream",
			TimeoutMillis:   15000,
			ObjectiveMillis: 400,
			PauseMillis:     300,
			Priority:        1,
			Service:         "llm",
			MaxUpstreams:    1,
			ModelRequests:   true,
		},
	})
	if err := newOperator(f).replace(c, 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	const (
		length = 40 * time.Second
		pause  = 250 * time.Millisecond
		// deadlyEvery is the number of sound requests for each deadly one.
		deadlyEvery = 8
	)
	begun := time.Now()
	var waiting sync.WaitGroup
	var mu sync.Mutex
	sound, answered := 0, 0
	for n := 0; time.Since(begun) < length; n++ {
		if n%deadlyEvery == 0 {
			waiting.Go(func() {
				id := fmt.Sprintf("dead%012x", n)
				status := f.send(n/deadlyEvery%len(f.gateways), id, "/ask"+deadly)
				f.record.add("caller: attempt %s for /ask%s: status %d", id, deadly, status)
			})
		}
		waiting.Go(func() {
			id := fmt.Sprintf("beef%012x", n)
			status := f.send((n+1)%len(f.gateways), id, fmt.Sprintf("/ask/%d", n))
			mu.Lock()
			defer mu.Unlock()
			sound++
			if status == http.StatusOK {
				answered++
			} else {
				f.record.add("caller: sound attempt %s: status %d", id, status)
			}
		})
		time.Sleep(pause)
	}
	waiting.Wait()
	if !trouble {
		f.record.add("sound requests: %d, answered 200: %d", sound, answered)
		fmt.Printf("no crashes; sound requests answered %d of %d\n", answered, sound)
		return false, nil
	}
	return f.checkDeadly(upstreams, sound, answered, streamEvents/2*eventPause)
}
