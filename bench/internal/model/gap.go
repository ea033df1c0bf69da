package model

import (
	"math"
	"time"
)

// backlogThreshold is how long a team must have had waiting requests without a break
// to count as backlogged.
const backlogThreshold = 2 * time.Second

// shareWindowSamples is the length, in samples, of the windows in which the least
// share is measured: one minute.
const shareWindowSamples = int(time.Minute / sampleInterval)

// gapMeter measures the fairness gap: the largest difference between two teams in
// service per weight, counted from the time at which both became backlogged, for as
// long as both stay so.
type gapMeter struct {
	teams               []Team
	backloggedSince     []time.Duration // negative while the team has nothing waiting
	initialDiff         [][]float64     // of each pair, when both became backlogged
	bothBacklogged      [][]bool
	maxGap              float64
	maxGapAfterRecovery float64
	samples             int
	windowStart         []float64 // each team's service when the window began
	backloggedAllWindow []bool    // backlogged since the window began
	minShares           []float64
}

func (m *gapMeter) init(teams []Team) {
	m.teams = teams
	n := len(teams)
	m.backloggedSince = make([]time.Duration, n)
	m.initialDiff = make([][]float64, n)
	m.bothBacklogged = make([][]bool, n)
	for i := range teams {
		m.backloggedSince[i] = -1
		m.initialDiff[i] = make([]float64, n)
		m.bothBacklogged[i] = make([]bool, n)
	}
	m.backloggedAllWindow = make([]bool, n)
	m.windowStart = make([]float64, n)
	m.minShares = make([]float64, n)
}

// sample records the service received and the number of waiting requests of every team.
func (m *gapMeter) sample(at time.Duration, service []float64, waiting []int) {
	backlogged := make([]bool, len(m.teams))
	for i := range m.teams {
		if waiting[i] == 0 {
			m.backloggedSince[i] = -1
			continue
		}
		if m.backloggedSince[i] < 0 {
			m.backloggedSince[i] = at
		}
		backlogged[i] = at-m.backloggedSince[i] >= backlogThreshold
	}
	m.updateGap(at, service, backlogged)
	m.updateShares(service, backlogged)
}

// updateGap updates the largest gap among pairs of backlogged teams.
func (m *gapMeter) updateGap(at time.Duration, service []float64, backlogged []bool) {
	gap := 0.0
	for i := range m.teams {
		for j := range i {
			if !backlogged[i] || !backlogged[j] {
				m.bothBacklogged[i][j] = false
				continue
			}
			d := service[i]/m.teams[i].Weight - service[j]/m.teams[j].Weight
			if !m.bothBacklogged[i][j] {
				m.bothBacklogged[i][j] = true
				m.initialDiff[i][j] = d
			}
			gap = max(gap, math.Abs(d-m.initialDiff[i][j]))
		}
	}
	m.maxGap = max(m.maxGap, gap)
	if at >= faultStart+faultDuration+RecoveryTime {
		m.maxGapAfterRecovery = max(m.maxGapAfterRecovery, gap)
	}
}

// updateShares compares, at the end of each window, what each team that was backlogged
// throughout received with its fair share of what all such teams received.
func (m *gapMeter) updateShares(service []float64, backlogged []bool) {
	total, weights := 0.0, 0.0
	for i, b := range m.backloggedAllWindow {
		if b && backlogged[i] {
			total += service[i] - m.windowStart[i]
			weights += m.teams[i].Weight
		}
	}
	for i, b := range backlogged {
		m.backloggedAllWindow[i] = m.backloggedAllWindow[i] && b
	}
	m.samples++
	if m.samples%shareWindowSamples != 0 {
		return
	}
	for i := range backlogged {
		if m.backloggedAllWindow[i] && total > 0 {
			got := (service[i] - m.windowStart[i]) / (total * m.teams[i].Weight / weights)
			if m.minShares[i] == 0 || got < m.minShares[i] {
				m.minShares[i] = max(got, 1e-9)
			}
		}
	}
	copy(m.windowStart, service)
	for i := range m.backloggedAllWindow {
		m.backloggedAllWindow[i] = true
	}
}

// leastShare returns the least fraction of its fair share that a backlogged team received
// in any window, or 0 if no team was backlogged for a whole window.
func (m *gapMeter) leastShare() float64 {
	least := 0.0
	for _, s := range m.minShares {
		if s > 0 && (least == 0 || s < least) {
			least = s
		}
	}
	return least
}
