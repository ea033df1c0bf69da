package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Second bytes of the tests' loopback addresses.
const (
	outOfStepNetwork = 28
	inPlaceNetwork   = 29
)

// Times of a release during which a host is out of step.
const (
	calmTime      = 1500 * time.Millisecond
	outOfStepTime = 4 * time.Second
	// beginTime is the time from the release until streams of the new version are broken. It
	// allows for an election.
	beginTime = 3 * time.Second
	afterTime = 3 * time.Second
	// releasePause is the time between the starts of two upstreams of the new version.
	releasePause = 100 * time.Millisecond
	// streamPause makes streams last a second or two.
	streamPause = 15 * time.Millisecond
)

// TestHostOutOfStepDuringRelease guards against streams that begin at upstreams of a new software
// version while a host is out of step, break off and go on at another version when their callers
// take them up at that host.
func TestHostOutOfStepDuringRelease(t *testing.T) {
	for name, begin := range map[string]func(s *Soak, leader int) (end func()){
		"gateway stands still": func(s *Soak, _ int) func() {
			return standStill(s.fleet.gateways[0])
		},
		"gateway and leader stand still": func(s *Soak, leader int) func() {
			return standStill(s.fleet.gateways[0], s.fleet.controllers[leader])
		},
		"gateway stands still, leader is cut off": func(s *Soak, leader int) func() {
			var cut sync.WaitGroup
			cut.Go(func() { s.fleet.relays[leader].InjectFault("silent", outOfStepTime) })
			thaw := standStill(s.fleet.gateways[0])
			return func() {
				thaw()
				cut.Wait()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ctx := startProcesses(t, Options{
				Seed:             8,
				Controllers:      3,
				Gateways:         3,
				Upstreams:        4,
				Network:          outOfStepNetwork,
				SoftwareVersions: []string{"v1"},
			})
			for _, u := range s.upstreams {
				u.mu.Lock()
				u.eventPause = streamPause
				u.mu.Unlock()
			}
			load := startTakeUps(ctx, s, []int{1, 2}, 0)
			time.Sleep(calmTime)
			leader := s.leader(t)
			end := begin(s, leader)
			thawed := time.After(outOfStepTime)
			s.release("v2")
			time.Sleep(beginTime)
			setDraining(s.upstreams[len(s.upstreams)/2:], false) // the upstreams of v1 take streams again
			s.breakStreams(1)
			<-thawed
			end()
			time.Sleep(afterTime / 2)
			s.breakStreams(2)
			time.Sleep(afterTime / 2)
			load.stop()
			s.ledger.Check(s, true)
			t.Logf("leader %d; %+v", leader+1, load.counts)
			is.Equal(s.ledger.Violations(), nil)
			is.True(load.counts.ofNewVersion >= 10)
		})
	}
}

// TestReleaseInPlaceReachesHostOutOfStep guards against a gateway that stood still, as its leader did,
// while upstreams were started again under their identifiers with a new software version, and
// keeps the list of before: the streams that begin through it count as begun at the former version, and go on there
// when their callers take them up at another gateway. The upstreams have drained, so that no
// stream begins there between their start and the next list.
func TestReleaseInPlaceReachesHostOutOfStep(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:             9,
		Controllers:      3,
		Gateways:         3,
		Upstreams:        4,
		Network:          inPlaceNetwork,
		SoftwareVersions: []string{"v1"},
	})
	released := s.upstreams[:len(s.upstreams)/2]
	for _, u := range s.upstreams {
		u.mu.Lock()
		u.eventPause = streamPause
		u.mu.Unlock()
	}
	end := standStill(s.fleet.gateways[0], s.fleet.controllers[s.leader(t)])
	setDraining(released, true)
	time.Sleep(drainedTime)
	for _, u := range released {
		u.stop()
		u.mu.Lock()
		u.version = "v2"
		u.incarnation-- // the identifier stays
		u.mu.Unlock()
		u.restart()
	}
	time.Sleep(calmTime)
	end()
	time.Sleep(calmTime)
	setDraining(s.upstreams[len(released):], true) // streams begin at v2
	time.Sleep(calmTime)
	load := startTakeUps(ctx, s, []int{0}, 1)
	time.Sleep(calmTime)
	setDraining(s.upstreams[len(released):], false)
	time.Sleep(calmTime)
	s.breakStreams(0)
	time.Sleep(afterTime)
	load.stop()
	s.ledger.Check(s, true)
	t.Logf("%+v", load.counts)
	is.Equal(s.ledger.Violations(), nil)
	is.True(load.counts.newWentOn >= 10)
}

// drainedTime is longer than the streams that an upstream has when it begins to drain.
const drainedTime = 3 * time.Second

// standStill suspends processes and returns the function that resumes them.
func standStill(processes ...*process) (end func()) {
	var ends []func()
	for _, p := range processes {
		ends = append(ends, p.faultTimes.begin())
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for i, p := range processes {
			p.signal(syscall.SIGCONT)
			ends[i]()
		}
	}
}

// leader returns the index of the controller that the second gateway linked to last.
func (s *Soak) leader(t *testing.T) int {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join(s.options.WorkFolder, s.fleet.gateways[1].name+".log"))
	is.NoErr(err)
	leader := -1
	for line := range strings.Lines(string(data)) {
		entry := struct {
			Message string `json:"msg"`
			Leader  string `json:"leader"`
		}{}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "linked to the leader" {
			continue
		}
		host, _, err := net.SplitHostPort(entry.Leader)
		is.NoErr(err)
		for i := range s.fleet.controllers {
			if s.address(groupController, i+1) == host {
				leader = i
			}
		}
	}
	is.True(leader >= 0)
	return leader
}

// release starts half of the upstreams of each service again, one after the other, with another
// software version and under other identifiers. The others drain.
func (s *Soak) release(version string) {
	for _, u := range s.upstreams[:len(s.upstreams)/2] {
		end := u.faultTimes.begin()
		u.stop()
		u.mu.Lock()
		u.version = version
		u.mu.Unlock()
		time.Sleep(releasePause)
		u.restart()
		end()
	}
	setDraining(s.upstreams[len(s.upstreams)/2:], true)
}

// setDraining has upstreams drain or take requests.
func setDraining(upstreams []*Upstream, draining bool) {
	for _, u := range upstreams {
		u.mu.Lock()
		u.draining = draining
		u.mu.Unlock()
	}
}

// breakStreams kills a gateway and starts it again.
func (s *Soak) breakStreams(gateway int) {
	p := s.fleet.gateways[gateway]
	end := p.faultTimes.begin()
	p.kill()
	s.faults.startProcess(p)
	end()
}

// takeUps is the load of callers that begin streams at some gateways and take them up at another
// one.
type takeUps struct {
	takeUpAt int
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	counts   struct {
		// takenUp are the streams that were taken up, wentOn those that went on, ofNewVersion
		// those that were taken up and had begun at the new version, newWentOn those of them
		// that went on.
		takenUp, wentOn, ofNewVersion, newWentOn int
	}
}

// startTakeUps starts callers.
func startTakeUps(ctx context.Context, s *Soak, beginAt []int, takeUpAt int) *takeUps {
	calling, cancel := context.WithCancel(ctx)
	l := &takeUps{
		takeUpAt: takeUpAt,
		cancel:   cancel,
	}
	for i := range 36 {
		c := &caller{
			soak:    s,
			gateway: beginAt[i%len(beginAt)],
			random:  rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		l.group.Go(func() {
			defer c.disconnect()
			for calling.Err() == nil {
				l.call(calling, c, i)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return l
}

// stop stops the callers and waits until they have ended.
func (l *takeUps) stop() {
	l.cancel()
	l.group.Wait()
}

// call begins a stream and takes it up if it breaks off.
func (l *takeUps) call(ctx context.Context, c *caller, index int) {
	home := c.gateway
	a := c.newAttempt()
	a.Kind, a.Key, a.Events = Chat, permanentKeys[index%2], maxEvents
	c.send(a)
	if a.Status != http.StatusOK || a.Complete || lastEvent(a) == 0 {
		return
	}
	c.soak.ledger.mu.Lock()
	isNew := originVersion(a) != "v1"
	c.soak.ledger.mu.Unlock()
	wentOn := c.takeUpAt(ctx, l.takeUpAt, a)
	c.disconnect()
	c.gateway = home
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.takenUp++
	if isNew {
		l.counts.ofNewVersion++
	}
	if wentOn {
		l.counts.wentOn++
	}
	if isNew && wentOn {
		l.counts.newWentOn++
	}
}

// takeUpAt takes a stream up at a gateway until it goes on or the caller's time is over, and
// reports whether it went on.
func (c *caller) takeUpAt(ctx context.Context, gateway int, origin *Attempt) bool {
	for ctx.Err() == nil && time.Since(origin.Sent) < callerTimeout {
		c.disconnect()
		c.gateway = gateway
		next := c.newAttempt()
		next.Kind, next.Key, next.Events, next.Origin, next.After = Chat, origin.Key, origin.Events, origin, lastEvent(origin)
		c.send(next)
		if next.Status == http.StatusOK {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
