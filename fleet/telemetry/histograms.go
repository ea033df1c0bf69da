package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the teams that have histograms of their own.
const (
	// MaxNamedTeams is how many teams have histograms of their own.
	MaxNamedTeams = 64
	// countedTeams is how many teams are counted to find the largest.
	countedTeams = 4 * MaxNamedTeams
	// reselectEvery is after how many values the named teams are chosen anew.
	reselectEvery = 4096
)

// OtherTeams is the label of all teams without histograms of their own.
const OtherTeams = "rest"

// Histograms are the histograms of one measure, one for each team and class.
// The teams with the most values have their own; all others share one. Teams
// are counted by the space-saving algorithm (Metwally, Agrawal and El Abbadi,
// ICDT 2005), so that memory is bounded however many there are.
type Histograms struct {
	set  *metrics.Set
	name string

	mu      sync.Mutex
	counts  map[string]uint64
	named   map[string]bool
	classes map[string]bool
	updates int
}

// Histograms returns the histograms of a measure.
func (m *Metrics) Histograms(name string) *Histograms {
	return &Histograms{
		set:     m.set,
		name:    name,
		counts:  make(map[string]uint64),
		named:   make(map[string]bool),
		classes: make(map[string]bool),
	}
}

// Update adds a value for a team and a class.
func (h *Histograms) Update(team, class string, value float64) {
	h.set.GetOrCreateHistogram(h.metricName(h.teamLabel(team, class), class)).Update(value)
}

// UpdateSince adds the seconds since start for a team and a class.
func (h *Histograms) UpdateSince(team, class string, start time.Time) {
	h.Update(team, class, time.Since(start).Seconds())
}

func (h *Histograms) metricName(label, class string) string {
	return h.name + `{team="` + label + `",class="` + class + `"}`
}

// teamLabel counts the team and returns its name if it is among the named.
func (h *Histograms) teamLabel(team, class string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.classes[class] = true
	h.count(team)
	h.updates++
	if h.updates%reselectEvery == 0 {
		h.reselect()
	}
	if !h.named[team] && len(h.named) < MaxNamedTeams {
		h.named[team] = true
	}
	if h.named[team] {
		return team
	}
	return OtherTeams
}

// count adds one to a team. When too many are counted the smallest gives its
// count to the newcomer.
func (h *Histograms) count(team string) {
	if _, ok := h.counts[team]; ok || len(h.counts) < countedTeams {
		h.counts[team]++
		return
	}
	smallest, least := "", uint64(0)
	for name, n := range h.counts {
		if smallest == "" || n < least {
			smallest = name
			least = n
		}
	}
	delete(h.counts, smallest)
	h.counts[team] = least + 1
}

// reselect gives names to teams that have become larger than the smallest named
// ones, whose histograms end.
func (h *Histograms) reselect() {
	for {
		small, large := "", ""
		for name := range h.named {
			if small == "" || h.counts[name] < h.counts[small] {
				small = name
			}
		}
		for name := range h.counts {
			if !h.named[name] && (large == "" || h.counts[name] > h.counts[large]) {
				large = name
			}
		}
		if small == "" || large == "" || h.counts[large] <= 2*h.counts[small] {
			return
		}
		delete(h.named, small)
		h.named[large] = true
		for class := range h.classes {
			h.set.UnregisterMetric(h.metricName(small, class))
		}
	}
}
