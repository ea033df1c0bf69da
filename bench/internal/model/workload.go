package model

import "time"

// Parameters of the workloads.
const (
	runDuration   = 300 * time.Second
	teamCount     = 16
	slotTokenRate = 30.0 // tokens per second of each slot
	// The cost of a request has a log-normal distribution with this mean, in
	// tokens, and this sigma of the logarithm, cut off at maxTokens.
	meanTokens      = 300.0
	sigmaTokens     = 0.9
	maxTokens       = 4096
	gatewayCount    = 4
	backlogDepth    = 24
	hotBacklogDepth = 10 * backlogDepth
	largeWeight     = 4.0
	floodFactor     = 100 // arrival rate of the flooding team, as a multiple of the others'
	lightTeams      = 2
	lightRate       = 5.0 // requests per second
)

// Fournos returns the model pool of Fournos Kathara: ten engines, half a
// millisecond between availability zones. Its balance favours utilisation.
func Fournos() Plan {
	return Plan{
		Deployment:  "fournos",
		Engines:     10,
		ZoneDelay:   500 * time.Microsecond,
		CallerDelay: time.Millisecond,
		Balance:     0.75,
	}
}

// Jadeite returns the model pool of Jadeite Ring: twelve engines, one and a half
// milliseconds between availability zones. Its balance favours a small fairness
// gap.
func Jadeite() Plan {
	return Plan{
		Deployment:  "jadeite",
		Engines:     12,
		ZoneDelay:   1500 * time.Microsecond,
		CallerDelay: 3 * time.Millisecond,
		Balance:     0.25,
	}
}

// newPlan returns the deployment p with the settings that all workloads share:
// sixteen teams of equal weight, all of them backlogged.
func newPlan(p Plan, workload string) Plan {
	p.Workload = workload
	p.Batch = 16
	p.SlotRate = slotTokenRate
	p.Prefill = 120 * time.Millisecond
	p.MaxCost = maxTokens
	p.Gateways = gatewayCount
	p.BacklogDepth = backlogDepth
	p.Duration = runDuration
	for i := range teamCount {
		p.Teams = append(p.Teams, Team{
			Weight:      1,
			ArrivalRate: -1,
			MeanCost:    meanTokens,
			Sigma:       sigmaTokens,
			HomeGateway: []int{0, 0, 0, 1, 0, 2, 1, 3}[i%8],
		})
	}
	return p
}

// requestCapacity returns the throughput of the plan's engines in requests of mean
// cost per second.
func requestCapacity(p Plan) float64 { return float64(p.Engines*p.Batch) * p.SlotRate / meanTokens }

// Workloads returns every workload of a deployment.
func Workloads(base Plan) []Plan {
	return []Plan{
		newPlan(base, "monday_backlog"),
		// Requests are shared by their measured cost: callers' length hints do not
		// reach the state machines. Hints that are wrong by a factor of ten, or too
		// low, therefore give the figures of monday_backlog.
		newPlan(base, "hints_wrong"),
		newPlan(base, "understated"),
		weightedTeams(base),
		calm(base),
		flood(base),
		idleReturn(base),
		lightAndReturn(base),
		longAndShort(base),
		withFault(base, "gateway_cut", GatewayCut),
		withFault(base, "accountant_lost", AccountantLost),
		withFault(base, "sidecars_restart", SidecarsRestart),
		withFault(base, "reports_cut", ReportsCut),
		loadLag(base),
		withFault(base, "engine_slow", EngineSlow),
		affinity(base, "affinity_on", true),
		affinity(base, "affinity_off", false),
		plainService(base, "plain_service", 250),
		plainHot(base),
		hotAndLight(base),
	}
}

func weightedTeams(base Plan) Plan {
	p := newPlan(base, "weights_1_4")
	for i := 0; i < len(p.Teams); i += 4 {
		p.Teams[i].Weight = largeWeight
	}
	return p
}

// calm loads the engines to 60 % of their capacity. It is the baseline of flood.
func calm(base Plan) Plan {
	p := newPlan(base, "calm")
	for i := range p.Teams {
		p.Teams[i].ArrivalRate = 0.6 * requestCapacity(p) / teamCount
	}
	return p
}

// flood is calm with one team that sends 100 times its rate.
func flood(base Plan) Plan {
	p := calm(base)
	p.Workload = "flood"
	p.Teams[0].ArrivalRate *= floodFactor
	p.Teams[0].Floods = true
	return p
}

// idleReturn has one backlogged team go idle for two minutes and return.
func idleReturn(base Plan) Plan {
	p := newPlan(base, "idle_return")
	p.Teams[3].IdleFrom = 40 * time.Second
	p.Teams[3].IdleTo = 160 * time.Second
	return p
}

// lightAndReturn is idleReturn with two teams that are never idle for long but ask
// for only a tenth of their share.
func lightAndReturn(base Plan) Plan {
	p := idleReturn(base)
	p.Workload = "light_and_return"
	for i := range lightTeams {
		p.Teams[i].ArrivalRate = 0.1 * requestCapacity(p) / teamCount
	}
	return p
}

// longAndShort has three teams with long requests among teams with short ones.
func longAndShort(base Plan) Plan {
	p := newPlan(base, "long_and_short")
	for i := range p.Teams {
		p.Teams[i].MeanCost = 50
		p.Teams[i].Sigma = 0.4
		if i < 3 {
			p.Teams[i].MeanCost = 2000
		}
	}
	return p
}

// withFault is the backlog of all teams with a fault during the run.
func withFault(base Plan, name string, f Fault) Plan {
	p := newPlan(base, name)
	p.Fault = f
	return p
}

// loadLag declares 24 slots for engines that have 16 and delays their load reports
// by five seconds.
func loadLag(base Plan) Plan {
	p := newPlan(base, "load_lag")
	p.MaxRunning = 24
	p.LoadLag = 5 * time.Second
	return p
}

// affinity has requests that share prompt prefixes, with an expensive prefill,
// placed with or without regard to the engines' prefix caches.
func affinity(base Plan, name string, on bool) Plan {
	p := newPlan(base, name)
	p.Affinity = on
	p.Prefill = time.Second
	for i := range p.Teams {
		p.Teams[i].Prefixes = 12
		p.Teams[i].MeanCost = 100
	}
	return p
}

// plainHot is a backlog of look-ups of 20 ms, of which the service completes 1,200
// per second.
func plainHot(base Plan) Plan {
	p := plainService(base, "plain_hot", 20)
	p.BacklogDepth = hotBacklogDepth // at least three seconds of work, as in the other workloads
	return p
}

// hotAndLight is plainHot with two teams that send only five requests per second.
func hotAndLight(base Plan) Plan {
	p := plainHot(base)
	p.Workload = "hot_and_light"
	for i := range lightTeams {
		p.Teams[i].ArrivalRate = lightRate
	}
	return p
}

// plainService is a booking service on three hosts. The cost of a request is its
// service time in milliseconds.
func plainService(base Plan, name string, mean float64) Plan {
	p := newPlan(base, name)
	p.Engines = 3
	p.Batch = 8
	p.SlotRate = 1000
	p.Prefill = 0
	p.MaxCost = 10 * mean
	p.Duration = 80 * time.Second
	for i := range p.Teams {
		p.Teams[i].MeanCost = mean
		p.Teams[i].Sigma = 0.5
	}
	return p
}
