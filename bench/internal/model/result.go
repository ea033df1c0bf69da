package model

import (
	"sort"
)

func (w *world) result() Result {
	seconds := w.plan.Duration.Seconds()
	out := Result{
		FairnessGap:   w.gap.worst,
		GapAfterFault: w.gap.afterFault,
		FairnessBound: w.plan.FairnessBound(),
		LeastShare:    w.gap.leastShare(),
		FirstTokenP95: percentile(w.firstTokens, 0.95),
		LatencyP95:    percentile(w.latencies, 0.95),
		NotRun:        w.notRun,
		Ended:         w.endedCount,
	}
	if w.capacity > 0 {
		out.Utilisation = w.busy / w.capacity
	}
	if n := w.cacheHits + w.cacheMisses; n > 0 {
		out.CacheHitRatio = float64(w.cacheHits) / float64(n)
	}
	total, nodes := int64(0), 0
	for _, g := range w.gateways {
		out.addNode(g.bytes, g.frames, seconds)
		total += g.bytes
		nodes++
	}
	for _, s := range w.sidecars {
		out.addNode(s.bytes, s.frames, seconds)
		total += s.bytes
		nodes++
		for _, e := range s.engines {
			out.MeanLimit += float64(s.queue.Limit(e.id).Value()) / float64(len(w.engines))
		}
	}
	out.ControlMean = float64(total) / float64(nodes) / seconds
	return out
}

func (r *Result) addNode(bytes, frames int64, seconds float64) {
	r.ControlPerNode = max(r.ControlPerNode, float64(bytes)/seconds)
	r.MessagesPerNode = max(r.MessagesPerNode, float64(frames)/seconds)
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
