package soak

import (
	"encoding/json"
	"net"
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
	outOfStepTime = 4 * time.Second
	// beginTime is the time from the release until streams of the new version are broken. It
	// allows for an election.
	beginTime = 3 * time.Second
	// releasePause is the time between the starts of two upstreams of the new version.
	releasePause = 100 * time.Millisecond
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
			s.lengthenStreams()
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
	s.lengthenStreams()
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
