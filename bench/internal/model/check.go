package model

import (
	"fmt"
	"runtime"
	"sync"
)

// The stated targets.
const (
	leastUtilisation = 0.98 // of the ideal dispatcher's
	mostControl      = 5000 // bytes per second and node
	mostFloodEffect  = 1.10 // on other teams' p95 latency
	leastFloorShare  = 0.5  // of the fair share in any minute, as while repaying
)

// Job is one run.
type Job struct {
	Plan     Plan
	Strategy Strategy
	Seed     uint64
	Result   Result
}

// RunAll runs the jobs, as many at once as there are processors.
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

// find returns another run of the same deployment and seed.
func find(jobs []*Job, like *Job, workload string, strategy Strategy) *Job {
	for _, j := range jobs {
		if j.Plan.Deployment == like.Plan.Deployment && j.Seed == like.Seed && j.Plan.Workload == workload && j.Strategy == strategy {
			return j
		}
	}
	return nil
}

// Violation is a stated bound that a run did not keep.
type Violation struct {
	Job   *Job
	Bound string
	Got   float64
	Want  float64
}

// Name names the broken bound, as in the list of known ones.
func (b Violation) Name() string {
	return fmt.Sprintf("deployment=%s workload=%s seed=%d %s", b.Job.Plan.Deployment, b.Job.Plan.Workload, b.Job.Seed, b.Bound)
}

// String returns the name and the figures.
func (b Violation) String() string {
	return fmt.Sprintf("%s got=%.4f want=%.4f", b.Name(), b.Got, b.Want)
}

// Check returns what the chosen strategy breaks. Utilisation is compared with
// the ideal's and the flood's effect with calm, where those are among the jobs.
func Check(jobs []*Job) []Violation {
	var out []Violation
	for _, j := range jobs {
		if j.Strategy == Chosen {
			out = append(out, j.check(jobs)...)
		}
	}
	return out
}

func (j *Job) check(jobs []*Job) []Violation {
	var out []Violation
	atMost := func(what string, got, want float64) {
		if got > want {
			out = append(out, Violation{
				Job:   j,
				Bound: what,
				Got:   got,
				Want:  want,
			})
		}
	}
	atLeast := func(what string, got, want float64) {
		if got < want {
			out = append(out, Violation{
				Job:   j,
				Bound: what,
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
		atLeast("least_share", r.LeastShare, leastFloorShare)
	}
	atMost("control_bytes_per_node_s", r.ControlPerNode, mostControl)
	if ideal := find(jobs, j, j.Plan.Workload, Ideal); ideal != nil {
		atLeast("utilisation", r.Utilisation, leastUtilisation*ideal.Result.Utilisation)
	}
	if calm := find(jobs, j, "calm", Chosen); calm != nil && j.Plan.Workload == "flood" {
		atMost("flood_latency_p95", r.LatencyP95, mostFloodEffect*calm.Result.LatencyP95)
	}
	return out
}
