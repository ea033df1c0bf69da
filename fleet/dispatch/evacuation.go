package dispatch

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuatedZones sets the availability zones that are being evacuated. Their upstreams
// get no requests, neither new ones nor trials, probes and continued streams; requests in
// flight there go on. Upstreams of zones that are no longer evacuated may have restarted
// meanwhile, and return as cold ones.
func (s *Scheduler) SetEvacuatedZones(now time.Time, zones []string) {
	former := s.evacuatedZones
	s.evacuatedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		s.evacuatedZones[zone] = true
	}
	if maps.Equal(former, s.evacuatedZones) {
		return
	}
	for _, e := range s.engines {
		e.evacuated = s.evacuatedZones[e.Zone]
	}
	for zone := range former {
		if !s.evacuatedZones[zone] {
			s.ReturnZone(now, zone)
		}
	}
}

// ReturnZone has the listed upstreams of an availability zone treated as cold from now on. It
// is for a Scheduler that learns of the end of an evacuation without having known the
// evacuation; SetEvacuatedZones does the same for the others.
func (s *Scheduler) ReturnZone(now time.Time, zone string) {
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		if e := s.engines[id]; e.listed && e.Zone == zone && !e.evacuated {
			s.startCold(now, e)
		}
	}
}

// EvacuatedUpstreams returns the identifiers of a service's upstreams in evacuated
// availability zones.
func (s *Scheduler) EvacuatedUpstreams(service string) []string {
	var out []string
	for _, e := range s.services[service] {
		if e.evacuated {
			out = append(out, e.ID)
		}
	}
	return out
}

// evacuatedLoss returns the tokens a second that engines in evacuated availability zones
// don't contribute, if each engine contributes the same number otherwise.
func (s *Scheduler) evacuatedLoss(each float64) float64 {
	lost := 0.0
	for service, list := range s.services {
		if known := s.table.Service(service); known == nil || known.Engine == nil {
			continue
		}
		for _, e := range list {
			if e.evacuated {
				lost += each
			}
		}
	}
	return lost
}
