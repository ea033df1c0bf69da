package driver

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Times of the case.
const (
	loseAfter    = 1300 * time.Millisecond // after the first start of all machines
	replaceAfter = 2 * time.Second         // after the loss
	ackTime      = 4 * time.Second         // AckMs
	catchUpTime  = 4 * time.Second         // CatchUpS
	watchTime    = 40 * time.Second
)

// runLostFounder has the controller with the lowest address lost for good soon after the first
// start, and an empty machine added in its place at another address, whose address the settings of
// all others then name as a seed. Acks: a proper order of the operator has no confirmation after
// AckMs in one stretch in which the core was stable.
func runLostFounder(f *fleet, trouble bool) (bool, error) {
	loseAt := loseAfter
	if v, err := strconv.Atoi(os.Getenv("LOSE_AFTER_MS")); err == nil {
		loseAt = time.Duration(v) * time.Millisecond
	}
	end := make(chan struct{})
	defer close(end)
	for i := range 3 {
		if err := f.keepEngine(i, "desk", end); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	if err := f.start(); err != nil {
		return false, err
	}
	stableFrom := begun
	replaced := make(chan error, 1)
	if trouble {
		time.Sleep(time.Until(begun.Add(loseAt)))
		f.controllers[0].kill()
		f.record.add("controller-1 is lost for good, %v after the first start", time.Since(begun).Round(time.Millisecond))
		stableFrom = time.Now().Add(replaceAfter + catchUpTime + stableWindow)
		go func() {
			time.Sleep(replaceAfter)
			replaced <- f.replaceFirst()
		}()
	} else {
		replaced <- nil
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
	operator := newOperator(f)
	limit := time.Until(stableFrom) + watchTime
	err := operator.replace(c, limit)
	if e := <-replaced; e != nil {
		return false, e
	}
	if err != nil {
		served := f.send(0, "beef000000000001", "/book/1")
		f.record.add("operator: %v; the core was stable for %v", err, watchTime)
		f.record.add("caller: status %d", served)
		fmt.Printf("no confirmation in %v with a stable core (AckMs is %v); a caller gets status %d\n", watchTime, ackTime, served)
		return true, nil
	}
	took := time.Since(begun)
	late := time.Since(stableFrom) > ackTime
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	if status := f.send(0, "beef000000000001", "/book/1"); status != http.StatusOK {
		return false, fmt.Errorf("a request was answered %d", status)
	}
	fmt.Printf("confirmed %v after the first start, and requests are served\n", took.Round(time.Millisecond))
	return late, nil
}

// replaceFirst starts a controller with an empty disk at another address, and has the settings of
// the others name it as a seed in place of the first one.
func (f *fleet) replaceFirst() error {
	last := len(f.controllers)
	seeds := []string{f.operatorAddress(last)}
	for i := 1; i < last; i++ {
		seeds = append(seeds, f.operatorAddress(i))
	}
	data := filepath.Join(f.work, fmt.Sprintf("controller-%d.data", last+1))
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	p, err := f.program("controller", last, f.controllerSettings(last, seeds, data, false))
	if err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.added = append(f.added, p)
	f.mu.Unlock()
	f.record.add("%s is added with an empty disk", p.name)
	time.Sleep(time.Second)
	for i := 1; i < last; i++ {
		other := f.controllers[i]
		path := filepath.Join(f.work, fmt.Sprintf("controller-%d.data", i+1))
		if err := writeJSON(f.settingsPath(other), f.controllerSettings(i, seeds, path, false)); err != nil {
			return err
		}
	}
	for i := range f.gateways {
		if err := writeJSON(f.settingsPath(f.gateways[i]), f.gatewaySettings(i, seeds)); err != nil {
			return err
		}
	}
	f.record.add("the settings of all others name its address")
	return nil
}
