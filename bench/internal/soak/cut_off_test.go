package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutOffNetwork is the second byte of the test's loopback addresses.
const cutOffNetwork = 30

// TestStreamsOfCutOffGatewayGoOn guards against streams that can't be resumed since the gateway
// that began them reached no controller of the group and has ended.
func TestStreamsOfCutOffGatewayGoOn(t *testing.T) {
	for name, members := range map[string]bool{
		"leader reachable for other hosts": true,
		"no leader":                        false,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ctx := startProcesses(t, Options{
				Seed:                10,
				Controllers:         3,
				DisklessControllers: 2,
				Gateways:            3,
				Upstreams:           4,
				Network:             cutOffNetwork,
				SoftwareVersions:    []string{"v1", "v2"},
			})
			s.lengthenStreams()
			load := startTakeUps(ctx, s, []int{0}, 1)
			time.Sleep(calmTime)
			for _, r := range s.fleet.relays[:3] {
				if members {
					r.CutOff(s.fleet.gateways[0].name)
				} else {
					r.PowerOff()
				}
			}
			time.Sleep(cutOffTime)
			kill := time.Now()
			s.breakStreams(0)
			for _, r := range s.fleet.relays[:3] {
				r.CutOff("")
				if !members {
					r.PowerOn()
				}
			}
			time.Sleep(afterTime)
			load.stop()
			s.ledger.Check(s, true)
			t.Logf("%+v", load.counts)
			is.Equal(s.ledger.Violations(), nil)
			old, lost := goneOn(load.broken, kill, relayDelay, t.Logf)
			is.True(old >= minTakenUp)
			is.Equal(lost, 0)
		})
	}
}
