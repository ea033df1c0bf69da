package model

import (
	"math"
	"time"
)

// backlogHold is how long a team must have waited without a break before it
// counts as backlogged.
const backlogHold = 2 * time.Second

// shareWindow is the window for floor shares, in samples: one minute.
const shareWindow = int(time.Minute / sampleEvery)

// gapMeter measures the fairness gap: the largest difference of service per
// weight between two teams since both have been backlogged without a break.
type gapMeter struct {
	teams      []Team
	since      []time.Duration // backlogged since, or negative
	base       [][]float64     // difference when the pair's joint backlog began
	joint      [][]bool
	worst      float64
	afterFault float64
	samples    int
	startAll   []float64 // service when the window began
	through    []bool    // backlogged through the window so far
	shares     []float64
}

func (m *gapMeter) init(teams []Team) {
	m.teams = teams
	n := len(teams)
	m.since = make([]time.Duration, n)
	m.base = make([][]float64, n)
	m.joint = make([][]bool, n)
	for i := range teams {
		m.since[i] = -1
		m.base[i] = make([]float64, n)
		m.joint[i] = make([]bool, n)
	}
	m.through = make([]bool, n)
	m.startAll = make([]float64, n)
	m.shares = make([]float64, n)
}

// sample takes the service and the waiting requests of every team.
func (m *gapMeter) sample(at time.Duration, service []float64, waiting []int) {
	backlogged := make([]bool, len(m.teams))
	for i := range m.teams {
		if waiting[i] == 0 {
			m.since[i] = -1
			continue
		}
		if m.since[i] < 0 {
			m.since[i] = at
		}
		backlogged[i] = at-m.since[i] >= backlogHold
	}
	m.pairs(at, service, backlogged)
	m.takeShares(service, backlogged)
}

func (m *gapMeter) pairs(at time.Duration, service []float64, backlogged []bool) {
	now := 0.0
	for i := range m.teams {
		for j := range i {
			if !backlogged[i] || !backlogged[j] {
				m.joint[i][j] = false
				continue
			}
			d := service[i]/m.teams[i].Weight - service[j]/m.teams[j].Weight
			if !m.joint[i][j] {
				m.joint[i][j] = true
				m.base[i][j] = d
			}
			now = max(now, math.Abs(d-m.base[i][j]))
		}
	}
	m.worst = max(m.worst, now)
	if at >= faultAt+faultFor+RecoveryTime {
		m.afterFault = max(m.afterFault, now)
	}
}

// takeShares compares what backlogged teams received over windows with their
// fair share among all backlogged teams.
func (m *gapMeter) takeShares(service []float64, backlogged []bool) {
	total, weights := 0.0, 0.0
	for i, b := range m.through {
		if b && backlogged[i] {
			total += service[i] - m.startAll[i]
			weights += m.teams[i].Weight
		}
	}
	for i, b := range backlogged {
		m.through[i] = m.through[i] && b
	}
	m.samples++
	if m.samples%shareWindow != 0 {
		return
	}
	for i := range backlogged {
		if m.through[i] && total > 0 {
			got := (service[i] - m.startAll[i]) / (total * m.teams[i].Weight / weights)
			if m.shares[i] == 0 || got < m.shares[i] {
				m.shares[i] = max(got, 1e-9)
			}
		}
	}
	copy(m.startAll, service)
	for i := range m.through {
		m.through[i] = true
	}
}

// leastShare returns the least that a backlogged team got of its fair share in
// any window of a minute.
func (m *gapMeter) leastShare() float64 {
	least := 0.0
	for _, s := range m.shares {
		if s > 0 && (least == 0 || s < least) {
			least = s
		}
	}
	return least
}
