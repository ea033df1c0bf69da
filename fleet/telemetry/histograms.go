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
	// countedTeams is how many teams have a count, from which the largest are selected.
	countedTeams = 4 * MaxNamedTeams
	// reselectEvery is the number of values after which the named teams are reselected.
	reselectEvery = 4096
)

// OtherTeams is the label value shared by all teams without histograms of their own.
const OtherTeams = "rest"

// Histograms holds the histograms of one metric, one for each named team and class. The
// teams with the most values are named; all others share one histogram for each class.
// Values are counted for each team by the space-saving algorithm (Metwally, Agrawal and
// El Abbadi, ICDT 2005), which bounds the memory for any number of teams. It is safe for
// concurrent use.
type Histograms struct {
	set  *metrics.Set
	name string

	mu      sync.Mutex
	counts  map[string]uint64 // estimated values of each counted team
	named   map[string]bool   // teams with histograms of their own
	classes map[string]bool   // classes seen so far
	updates int
}

// Histograms returns the histograms of the metric with the given name.
func (m *Metrics) Histograms(name string) *Histograms {
	return &Histograms{
		set:     m.set,
		name:    name,
		counts:  make(map[string]uint64),
		named:   make(map[string]bool),
		classes: make(map[string]bool),
	}
}

// Update adds a value to the histogram of a team and class.
func (h *Histograms) Update(team, class string, value float64) {
	h.set.GetOrCreateHistogram(h.metricName(h.teamLabel(team, class), class)).Update(value)
}

// UpdateSince adds the time since start, in seconds, to the histogram of a team and
// class.
func (h *Histograms) UpdateSince(team, class string, start time.Time) {
	h.Update(team, class, time.Since(start).Seconds())
}

func (h *Histograms) metricName(label, class string) string {
	return h.name + `{team="` + label + `",class="` + class + `"}`
}

// teamLabel counts a value of the team and returns the team's name if it is named, or
// OtherTeams.
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

// count adds one to the count of a team. If countedTeams others are counted, the team
// replaces the one with the smallest count and continues from that count, as the
// space-saving algorithm requires.
func (h *Histograms) count(team string) {
	if _, ok := h.counts[team]; ok || len(h.counts) < countedTeams {
		h.counts[team]++
		return
	}
	smallestTeam, smallestCount := "", uint64(0)
	for name, n := range h.counts {
		if smallestTeam == "" || n < smallestCount {
			smallestTeam = name
			smallestCount = n
		}
	}
	delete(h.counts, smallestTeam)
	h.counts[team] = smallestCount + 1
}

// reselect replaces the smallest named team by the largest other team as long as that has
// more than twice its count. Histograms of teams that are no longer named are
// unregistered.
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
