package model

import (
	"time"

	"baobabpaddle/fleet/share"
)

// Strategy is a way of sharing.
type Strategy string

// The strategies that are measured side by side.
const (
	// FIFO serves in the order of arrival at each sidecar.
	FIFO Strategy = "fifo"
	// Local orders by what each sidecar has served itself.
	Local Strategy = "local"
	// Gossip lets every sidecar add up every other sidecar's reports.
	Gossip Strategy = "gossip"
	// Dispatcher decides everything in one place per service.
	Dispatcher Strategy = "dispatcher"
	// Chosen is the project's: sidecars order by totals from one accountant.
	Chosen Strategy = "chosen"
	// Ideal is one dispatcher without any delay, to compare with.
	Ideal Strategy = "ideal"
)

// Strategies lists all of them, the ideal first.
var Strategies = []Strategy{Ideal, FIFO, Local, Gossip, Dispatcher, Chosen}

// Fault is something that happens during a run.
type Fault uint8

// The faults of the workloads.
const (
	NoFault Fault = iota
	// GatewayCut cuts gateway 0 off for 30 s.
	GatewayCut
	// AccountantLost replaces the accountant by one that knows nothing.
	AccountantLost
	// SidecarsRestart restarts half the sidecars with nothing remembered.
	SidecarsRestart
	// EngineSlow slows engine 0 to a quarter.
	EngineSlow
	// ReportsCut cuts half the sidecars off from the accountant for 30 s.
	ReportsCut
)

// Team is one team's traffic.
type Team struct {
	Weight float64
	// ArrivalRate is the arrivals per second; negative keeps the team backlogged.
	ArrivalRate float64
	// MeanCost and Sigma shape the log-normal cost.
	MeanCost float64
	Sigma    float64
	// IdleFrom and IdleTo bound a time without arrivals.
	IdleFrom time.Duration
	IdleTo   time.Duration
	// HomeGateway takes four fifths of the team's traffic.
	HomeGateway int
	Prefixes    int
	// Floods keeps the team out of the latencies of the others.
	Floods bool
}

// Plan is one workload on one deployment.
type Plan struct {
	Deployment string
	Workload   string
	Engines    int
	Batch      int
	// MaxRunning is the max_running that operators declare; zero means Batch.
	MaxRunning int
	SlotRate   float64
	Prefill    time.Duration
	MaxCost    float64
	// ZoneDelay and CallerDelay are one-way.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Gateways    int
	// BacklogDepth is how many requests a backlogged team keeps waiting at its gateway.
	BacklogDepth int
	Teams        []Team
	Fault        Fault
	Duration     time.Duration
	// LoadLag is the age of load reports.
	LoadLag  time.Duration
	Balance  float64
	Affinity bool
}

// Result is what a run measured.
type Result struct {
	FairnessGap     float64 // units per weight, largest over time
	FairnessBound   float64
	GapAfterFault   float64 // at the end of the stated repayment time
	Utilisation     float64
	ControlPerNode  float64 // bytes per second, the busiest gateway or sidecar
	ControlMean     float64
	FirstTokenP95   float64
	LatencyP95      float64 // of teams that are not backlogged all the time
	NotRun          int
	Ended           int
	CacheHitRatio   float64
	LeastShare      float64 // least service of a backlogged team over its fair share
	MeanLimit       float64 // mean admission limit at the end
	MessagesPerNode float64
}

// reportAge returns the oldest that unreported service may be.
func (p *Plan) reportAge() time.Duration { return share.SettingsForBalance(p.Balance).ReportAge }

// FairnessBound returns the stated bound of the fairness gap, in units per weight; the
// design note derives it. P is the places, W the sum of the weights, w the least
// weight, L the largest cost, V the reserve, R the fleet's rate and A the age of
// the totals.
//
//	P/W * L + 2*V/w + R*A/w
func (p *Plan) FairnessBound() float64 {
	weights, least := 0.0, 0.0
	for _, t := range p.Teams {
		weights += t.Weight
		if least == 0 || t.Weight < least {
			least = t.Weight
		}
	}
	places := float64(p.Engines * max(p.MaxRunning, p.Batch))
	age := p.reportAge() + 4*p.ZoneDelay + tickEvery + progressEvery
	rate := float64(p.Engines*p.Batch) * p.SlotRate
	return places/weights*p.MaxCost + 2*share.DefaultReserve/least + rate*age.Seconds()/least
}
