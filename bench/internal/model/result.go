package model

import (
	"sort"
)

// result summarises the measurements at the end of the run.
func (sim *simulation) result() Result {
	seconds := sim.plan.Duration.Seconds()
	out := Result{
		FairnessGap:   sim.gap.maxGap,
		GapAfterFault: sim.gap.maxGapAfterRecovery,
		FairnessBound: sim.plan.FairnessBound(),
		LeastShare:    sim.gap.leastShare(),
		FirstTokenP95: percentile(sim.firstTokens, 0.95),
		LatencyP95:    percentile(sim.latencies, 0.95),
		NotRun:        sim.notRun,
		Ended:         sim.completed,
	}
	if sim.slotSum > 0 {
		out.Utilisation = sim.busySlotSum / sim.slotSum
	}
	if n := sim.cacheHits + sim.cacheMisses; n > 0 {
		out.CacheHitRatio = float64(sim.cacheHits) / float64(n)
	}
	total, nodes := int64(0), 0
	for _, g := range sim.gateways {
		out.addNode(g.bytes, g.frames, seconds)
		total += g.bytes
		nodes++
	}
	for _, s := range sim.sidecars {
		out.addNode(s.bytes, s.frames, seconds)
		total += s.bytes
		nodes++
		for _, e := range s.engines {
			out.MeanLimit += float64(s.queue.Limit(e.id).Value()) / float64(len(sim.engines))
		}
	}
	out.ControlMean = float64(total) / float64(nodes) / seconds
	return out
}

// addNode raises the maxima of control traffic to those of one gateway or sidecar.
func (r *Result) addNode(bytes, frames int64, seconds float64) {
	r.ControlPerNode = max(r.ControlPerNode, float64(bytes)/seconds)
	r.MessagesPerNode = max(r.MessagesPerNode, float64(frames)/seconds)
}

// percentile sorts the values and returns the quantile p, or 0 without values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
