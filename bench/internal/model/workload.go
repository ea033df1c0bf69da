package model

import "time"

// Constants of the workloads.
const (
	runFor       = 300 * time.Second
	teamCount    = 16
	tokenRate    = 30.0
	meanTokens   = 300.0
	sigmaTokens  = 0.9
	maxTokens    = 4096
	gatewayCount = 4
	backlogDepth = 24
	hotDepth     = 10 * backlogDepth
	largeWeight  = 4.0
	floodFactor  = 100
	lightTeams   = 2
	lightRate    = 5.0
)

// Fournos is the model pool of Fournos Kathara: ten engines, half a millisecond
// between availability zones. It weighs utilisation more.
func Fournos() Plan {
	return Plan{
		Deployment:  "fournos",
		Engines:     10,
		ZoneDelay:   500 * time.Microsecond,
		CallerDelay: time.Millisecond,
		Balance:     0.75,
	}
}

// Jadeite is the model pool of Jadeite Ring: twelve engines, one and a half
// milliseconds between availability zones. It weighs the fairness gap more.
func Jadeite() Plan {
	return Plan{
		Deployment:  "jadeite",
		Engines:     12,
		ZoneDelay:   1500 * time.Microsecond,
		CallerDelay: 3 * time.Millisecond,
		Balance:     0.25,
	}
}

// fill gives a plan what all workloads have in common.
func fill(p Plan, workload string) Plan {
	p.Workload = workload
	p.Batch = 16
	p.SlotRate = tokenRate
	p.Prefill = 120 * time.Millisecond
	p.MaxCost = maxTokens
	p.Gateways = gatewayCount
	p.BacklogDepth = backlogDepth
	p.Duration = runFor
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

// capacity returns the requests per second that the plan's engines can do.
func capacity(p Plan) float64 { return float64(p.Engines*p.Batch) * p.SlotRate / meanTokens }

// Workloads returns every workload of a deployment.
func Workloads(base Plan) []Plan {
	return []Plan{
		fill(base, "monday_backlog"),
		// Callers' hints never reach the cores. The rows of hints that are wrong
		// by ten times or understated show that nothing depends on them.
		fill(base, "hints_wrong"),
		fill(base, "understated"),
		weights(base),
		calm(base),
		flood(base),
		returning(base),
		lightAndReturn(base),
		longAndShort(base),
		fault(base, "gateway_cut", GatewayCut),
		fault(base, "accountant_lost", AccountantLost),
		fault(base, "sidecars_restart", SidecarsRestart),
		fault(base, "reports_cut", ReportsCut),
		loadLag(base),
		fault(base, "engine_slow", EngineSlow),
		affinity(base, "affinity_on", true),
		affinity(base, "affinity_off", false),
		plain(base, "plain_service", 250),
		hot(base),
		hotAndLight(base),
	}
}

func weights(base Plan) Plan {
	p := fill(base, "weights_1_4")
	for i := 0; i < len(p.Teams); i += 4 {
		p.Teams[i].Weight = largeWeight
	}
	return p
}

// calm is the load under which flood is compared.
func calm(base Plan) Plan {
	p := fill(base, "calm")
	for i := range p.Teams {
		p.Teams[i].ArrivalRate = 0.6 * capacity(p) / teamCount
	}
	return p
}

func flood(base Plan) Plan {
	p := calm(base)
	p.Workload = "flood"
	p.Teams[0].ArrivalRate *= floodFactor
	p.Teams[0].Floods = true
	return p
}

func returning(base Plan) Plan {
	p := fill(base, "idle_return")
	p.Teams[3].IdleFrom = 40 * time.Second
	p.Teams[3].IdleTo = 160 * time.Second
	return p
}

// lightAndReturn has a team return from idleness while others, which were never
// idle for long, ask for a tenth of their share.
func lightAndReturn(base Plan) Plan {
	p := returning(base)
	p.Workload = "light_and_return"
	for i := range lightTeams {
		p.Teams[i].ArrivalRate = 0.1 * capacity(p) / teamCount
	}
	return p
}

func longAndShort(base Plan) Plan {
	p := fill(base, "long_and_short")
	for i := range p.Teams {
		p.Teams[i].MeanCost = 50
		p.Teams[i].Sigma = 0.4
		if i < 3 {
			p.Teams[i].MeanCost = 2000
		}
	}
	return p
}

func fault(base Plan, name string, f Fault) Plan {
	p := fill(base, name)
	p.Fault = f
	return p
}

// loadLag declares more places than the engines have and lets them report with
// a lag of five seconds.
func loadLag(base Plan) Plan {
	p := fill(base, "load_lag")
	p.MaxRunning = 24
	p.LoadLag = 5 * time.Second
	return p
}

func affinity(base Plan, name string, on bool) Plan {
	p := fill(base, name)
	p.Affinity = on
	p.Prefill = time.Second
	for i := range p.Teams {
		p.Teams[i].Prefixes = 12
		p.Teams[i].MeanCost = 100
	}
	return p
}

// hot keeps look-ups of 20 ms waiting, 1,200 of them served in a second.
func hot(base Plan) Plan {
	p := plain(base, "plain_hot", 20)
	p.BacklogDepth = hotDepth // three seconds of work, as the others have and more
	return p
}

// hotAndLight lets two teams look something up now and then on the hot service.
func hotAndLight(base Plan) Plan {
	p := hot(base)
	p.Workload = "hot_and_light"
	for i := range lightTeams {
		p.Teams[i].ArrivalRate = lightRate
	}
	return p
}

// plain is a booking service: three hosts, cost in milliseconds.
func plain(base Plan, name string, mean float64) Plan {
	p := fill(base, name)
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
