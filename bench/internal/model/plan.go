package model

import (
	"time"

	"baobabpaddle/fleet/share"
)

// Strategy is a policy for sharing upstream capacity among teams.
type Strategy string

// The strategies that are compared.
const (
	// FIFO serves requests in the order of their arrival at each sidecar.
	FIFO Strategy = "fifo"
	// Local orders teams by the service that each sidecar has given itself.
	Local Strategy = "local"
	// Gossip has every sidecar send its reports to all others and sum up theirs.
	Gossip Strategy = "gossip"
	// Dispatcher has one central queue per service.
	Dispatcher Strategy = "dispatcher"
	// Chosen is the policy that the fleet uses: sidecars order teams by totals that
	// one accountant sums up.
	Chosen Strategy = "chosen"
	// Ideal is a central queue without any delay. It is the reference for
	// utilisation.
	Ideal Strategy = "ideal"
)

// Strategies lists all strategies, Ideal first.
var Strategies = []Strategy{Ideal, FIFO, Local, Gossip, Dispatcher, Chosen}

// Fault is a failure that is injected during a run.
type Fault uint8

// The faults of the workloads.
const (
	NoFault Fault = iota
	// GatewayCut partitions gateway 0 from callers and sidecars for 30 s.
	GatewayCut
	// AccountantLost replaces the accountant, after 2 s without one, by one without
	// state.
	AccountantLost
	// SidecarsRestart restarts half the sidecars without their state.
	SidecarsRestart
	// EngineSlow slows engine 0 to a quarter of its speed.
	EngineSlow
	// ReportsCut partitions half the sidecars from the accountant for 30 s.
	ReportsCut
)

// Team describes one team's traffic.
type Team struct {
	Weight float64
	// ArrivalRate is in requests per second, with exponential gaps. If it is
	// negative, the team is backlogged: each request that starts is replaced by a
	// new one.
	ArrivalRate float64
	// MeanCost, in units of service, and Sigma, of the logarithm, are the
	// parameters of the log-normal distribution of a request's cost.
	MeanCost float64
	Sigma    float64
	// IdleFrom and IdleTo bound an interval without arrivals, since the start of
	// the run.
	IdleFrom time.Duration
	IdleTo   time.Duration
	// HomeGateway is the index of the gateway that receives most of the team's
	// requests.
	HomeGateway int
	// Prefixes is the number of distinct prompt prefixes; zero means no prefixes.
	Prefixes int
	// Floods excludes the team from the measured latencies.
	Floods bool
}

// Plan describes one workload on one deployment. Costs and rates are in units of
// service: tokens for a model service, milliseconds for a plain one.
type Plan struct {
	Deployment string
	Workload   string
	Engines    int
	Batch      int // slots of each engine
	// MaxRunning is the max_running that operators declare for each engine; less
	// than Batch means Batch.
	MaxRunning int
	SlotRate   float64 // units per second of each slot
	Prefill    time.Duration
	MaxCost    float64
	// ZoneDelay and CallerDelay are one-way network delays: between availability
	// zones, and between a caller and its gateway.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Gateways    int
	// BacklogDepth is the number of requests that a backlogged team keeps waiting at
	// its home gateway.
	BacklogDepth int
	Teams        []Team
	Fault        Fault
	Duration     time.Duration
	// LoadLag is the delay of engines' load reports; zero means no load reports.
	LoadLag time.Duration
	// Balance is the fleet's setting from 0, for the smallest fairness gap, to 1,
	// for the highest utilisation.
	Balance float64
	// Affinity turns placement by prefix cache on.
	Affinity bool
}

// Result holds the measurements of a run.
type Result struct {
	FairnessGap     float64 // largest over time, in units per weight
	FairnessBound   float64 // in units per weight
	GapAfterFault   float64 // largest since RecoveryTime after the fault's end, in units per weight
	Utilisation     float64 // fraction of the slots that were busy while requests waited
	ControlPerNode  float64 // bytes per second of the busiest gateway or sidecar
	ControlMean     float64 // bytes per second, mean over gateways and sidecars
	FirstTokenP95   float64 // seconds, of teams that are neither backlogged nor flooding
	LatencyP95      float64 // seconds, of the same teams
	NotRun          int     // requests that a gateway rejected
	Ended           int     // requests that completed
	CacheHitRatio   float64
	LeastShare      float64 // least fraction of its fair share that a backlogged team received in a minute
	MeanLimit       float64 // mean concurrency limit of the engines at the end
	MessagesPerNode float64 // frames per second of the busiest gateway or sidecar
}

// reportAge returns the maximum age of service that is not reported yet.
func (p *Plan) reportAge() time.Duration { return share.SettingsForBalance(p.Balance).ReportAge }

// FairnessBound returns the stated bound of the fairness gap, in units per weight:
//
//	P/W * L + 2*V/w + R*A/w
//
// P is the number of slots, W the sum of the weights, w the least weight, L the
// largest cost of a request, V the reserve (share.DefaultReserve), R the service
// rate of all engines and A the largest age of the totals by which sidecars order
// teams. docs/design/sharing.md derives it.
func (p *Plan) FairnessBound() float64 {
	weights, least := 0.0, 0.0
	for _, t := range p.Teams {
		weights += t.Weight
		if least == 0 || t.Weight < least {
			least = t.Weight
		}
	}
	slots := float64(p.Engines * max(p.MaxRunning, p.Batch))
	age := p.reportAge() + 4*p.ZoneDelay + tickInterval + progressInterval
	rate := float64(p.Engines*p.Batch) * p.SlotRate
	return slots/weights*p.MaxCost + 2*share.DefaultReserve/least + rate*age.Seconds()/least
}
