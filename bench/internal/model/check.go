package model

import (
	"fmt"
	"runtime"
	"sync"
)

// Stated bounds of the strategy Chosen.
const (
	minUtilisation   = 0.98 // as a fraction of the ideal dispatcher's
	maxControlBytes  = 5000 // bytes per second of a gateway or sidecar
	maxFloodSlowdown = 1.10 // of other teams' p95 latency, as a multiple of calm's
	// minFairShare is the least fraction of its fair share that a backlogged team may
	// receive in any minute, also one that is ahead while others catch up.
	minFairShare = 0.5
)

// Job is a run to do, and its result.
type Job struct {
	Plan     Plan
	Strategy Strategy
	Seed     uint64
	Result   Result
}

// RunAll runs the jobs, GOMAXPROCS at a time, and stores their results.
func RunAll(jobs []*Job) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, j := range jobs {
		group.Go(func() {
			slots <- struct{}{}
			j.Result = Run(j.Plan, j.Strategy, j.Seed)
			<-slots
		})
	}
	group.Wait()
}

// findJob returns the job with the deployment and seed of like and the given workload
// and strategy, or nil.
func findJob(jobs []*Job, like *Job, workload string, strategy Strategy) *Job {
	for _, j := range jobs {
		if j.Plan.Deployment == like.Plan.Deployment && j.Seed == like.Seed && j.Plan.Workload == workload && j.Strategy == strategy {
			return j
		}
	}
	return nil
}

// Violation is a stated bound that a run violated.
type Violation struct {
	Job   *Job
	Bound string
	Got   float64
	Want  float64
}

// Name identifies the run and the bound in the form that the list of known violations
// uses.
func (v Violation) Name() string {
	return fmt.Sprintf("deployment=%s workload=%s seed=%d %s", v.Job.Plan.Deployment, v.Job.Plan.Workload, v.Job.Seed, v.Bound)
}

// String returns the name, the measured value and the bound.
func (v Violation) String() string {
	return fmt.Sprintf("%s got=%.4f want=%.4f", v.Name(), v.Got, v.Want)
}

// Check returns the bounds that runs of the strategy Chosen violated. Utilisation is
// compared with that of Ideal, and the latency under flood with that under calm, if
// the jobs include those runs.
func Check(jobs []*Job) []Violation {
	var out []Violation
	for _, j := range jobs {
		if j.Strategy == Chosen {
			out = append(out, j.check(jobs)...)
		}
	}
	return out
}

// check returns the bounds that the job violated. A fault that cuts links or loses
// state may exceed the bound of the gap for RecoveryTime after its end.
func (j *Job) check(jobs []*Job) []Violation {
	var out []Violation
	atMost := func(bound string, got, want float64) {
		if got > want {
			out = append(out, Violation{
				Job:   j,
				Bound: bound,
				Got:   got,
				Want:  want,
			})
		}
	}
	atLeast := func(bound string, got, want float64) {
		if got < want {
			out = append(out, Violation{
				Job:   j,
				Bound: bound,
				Got:   got,
				Want:  want,
			})
		}
	}
	r := j.Result
	switch j.Plan.Fault {
	case GatewayCut, ReportsCut, SidecarsRestart:
		atMost("gap_after_repay", r.GapAfterFault, r.FairnessBound)
	default:
		atMost("fairness_gap", r.FairnessGap, r.FairnessBound)
	}
	if r.LeastShare > 0 {
		atLeast("least_share", r.LeastShare, minFairShare)
	}
	atMost("control_bytes_per_node_s", r.ControlPerNode, maxControlBytes)
	if ideal := findJob(jobs, j, j.Plan.Workload, Ideal); ideal != nil {
		atLeast("utilisation", r.Utilisation, minUtilisation*ideal.Result.Utilisation)
	}
	if calm := findJob(jobs, j, "calm", Chosen); calm != nil && j.Plan.Workload == "flood" {
		atMost("flood_latency_p95", r.LatencyP95, maxFloodSlowdown*calm.Result.LatencyP95)
	}
	return out
}
