package model

import (
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// applyActions carries out the placer's pending actions. Demands and declines for the
// same sidecar share a frame.
func (sim *simulation) applyActions(g *gateway) {
	frames := make(map[string]*wire.Work)
	frameFor := func(sidecar string) *wire.Work {
		if frames[sidecar] == nil {
			frames[sidecar] = &wire.Work{}
		}
		return frames[sidecar]
	}
	for _, a := range g.placer.TakeActions() {
		switch a := a.(type) {
		case share.SendDemand:
			f := frameFor(a.Sidecar)
			f.AddDemand(a.Demand)
			if weightsSent := g.weightsSent[a.Sidecar]; !weightsSent[a.Demand.Team] {
				weightsSent[a.Demand.Team] = true
				f.Weights = append(f.Weights, wire.Weight{
					Team:   a.Demand.Team,
					Weight: sim.weight(a.Demand.Team),
				})
			}
		case share.SendDecline:
			f := frameFor(a.Sidecar)
			f.Declines = append(f.Declines, a.Decline)
		case share.Start:
			sim.startRequest(g, a)
		case share.Reject:
			sim.notRun++
			delete(sim.requests, a.Request.ID)
		}
	}
	for _, s := range sim.sidecars {
		if f := frames[s.name]; f != nil {
			sim.sendToSidecar(g, s, *f)
		}
	}
}

// sendToSidecar sends demands and declines. Demands are dropped if the sidecar restarts
// before they arrive.
func (sim *simulation) sendToSidecar(g *gateway, s *sidecar, frame wire.Work) {
	incarnation := s.incarnation
	sim.sendWork(g, s, frame, func() {
		for _, d := range frame.Declines {
			s.queue.Decline(sim.clock.now, g.name, d)
		}
		if s.incarnation == incarnation {
			frame.AllDemands(func(d share.Demand) { s.queue.SetDemand(sim.clock.now, g.name, d) })
		}
		sim.advance(s)
	})
}

// startRequest sends a request to a sidecar, on a grant or directly to spare capacity.
// The gateway requeues it if the sidecar has restarted or no longer has the slot.
func (sim *simulation) startRequest(g *gateway, a share.Start) {
	r := sim.requests[a.Request.ID]
	s := sim.sidecarsByName[a.Sidecar]
	incarnation := s.incarnation
	sim.refill(r)
	sim.clock.after(sim.delay(g.zone, s.zone), func() {
		id := a.GrantID
		ok := s.incarnation == incarnation
		if ok && id == 0 {
			var grant share.Grant
			grant, ok = s.queue.GrantDirect(sim.clock.now, g.name, a.Request.Team)
			id = grant.ID
		}
		if !ok || !s.queue.Arrive(sim.clock.now, id, true) {
			sim.clock.after(sim.delay(g.zone, s.zone), func() {
				g.placer.Requeue(sim.clock.now, a.Request, a.Sidecar)
				sim.applyActions(g)
			})
			return
		}
		s.pending[id] = &pendingRequest{
			request: r,
			engine:  sim.engineByID(s, s.queue.UpstreamOf(id)),
		}
		sim.advance(s)
	})
}

func (sim *simulation) engineByID(s *sidecar, id share.UpstreamID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// advance starts the requests and issues the grants that a sidecar's queue allows now,
// and advertises its spare capacity.
func (sim *simulation) advance(s *sidecar) {
	for {
		id, ok := s.queue.StartNext(sim.clock.now)
		if !ok {
			break
		}
		p := s.pending[id]
		delete(s.pending, id)
		sim.afterEngineDelay(s, p.engine.zone, func() {
			p.engine.admit(&execution{
				request:   p.request,
				id:        id,
				team:      p.request.team,
				remaining: p.request.cost,
			})
		})
	}
	wire.GrantFrames(s.queue.IssueGrants(sim.clock.now, nil), func(gateway string, frame wire.Work) {
		g := sim.gatewayByName(gateway)
		sim.sendWork(g, s, frame, func() {
			frame.AllGrants(func(grant share.Grant) { g.placer.Grant(sim.clock.now, s.name, grant) })
			sim.applyActions(g)
		})
	})
	sim.advertiseCapacity(s)
}

// advertiseCapacity tells the reachable gateways of spare capacity.
func (sim *simulation) advertiseCapacity(s *sidecar) {
	names := make([]string, 0, len(sim.gateways))
	for _, g := range sim.gateways {
		if !g.partitioned {
			names = append(names, g.name)
		}
	}
	for _, name := range s.queue.AdvertiseCapacity(names, nil) {
		g := sim.gatewayByName(name)
		sim.sendWork(g, s, wire.Work{
			SpareCapacity: []share.SpareCapacity{
				{
					Service:   serviceID,
					Available: true,
				},
			},
		}, func() {
			g.placer.SetSpareCapacity(s.name, true)
			sim.applyActions(g)
		})
	}
}

func (sim *simulation) gatewayByName(name string) *gateway {
	for _, g := range sim.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// sendDueReport sends a sidecar's report of service if it is due and the strategy uses
// reports.
func (sim *simulation) sendDueReport(s *sidecar) {
	at, due := s.queue.ReportDue()
	if !due || sim.clock.now.Before(at) || sim.strategy == FIFO || sim.strategy == Local || sim.central() {
		return
	}
	if s.partitioned || sim.accountant == nil {
		return
	}
	sim.sendReport(s, s.queue.Report(sim.clock.now, false))
}

// sendReport sends a report to the accountant and delivers the totals that it returns.
func (sim *simulation) sendReport(s *sidecar, r share.Report) {
	frame := wire.Account{
		Reports: []wire.PackedReport{s.packer.Pack(r)},
	}
	if sim.strategy == Gossip {
		sim.gossip(s, frame, r)
		return
	}
	s.bytes += frameBytes(frame)
	s.frames++
	delay := sim.delay(s.zone, sim.accountantZone)
	incarnation := s.incarnation
	accountant := sim.accountant
	sim.clock.after(delay, func() {
		if accountant != sim.accountant || s.partitioned {
			return
		}
		totals := accountant.Report(sim.clock.now, s.name, string(rune('a'+incarnation)), r)
		s.bytes += frameBytes(wire.Account{
			Totals: []wire.PackedTotals{wire.PackTotals(totals)},
		})
		s.frames++
		sim.clock.after(delay, func() {
			if s.incarnation == incarnation && !s.partitioned {
				s.queue.SetTotals(sim.clock.now, totals)
				sim.advance(s)
			}
		})
	})
}

// gossip sends a report to the accountants of all sidecars and orders the sender's
// queue by the totals of its own.
func (sim *simulation) gossip(s *sidecar, frame wire.Account, r share.Report) {
	incarnation := string(rune('a' + s.incarnation))
	for _, other := range sim.sidecars {
		if other == s {
			s.queue.SetTotals(sim.clock.now, s.accountant.Report(sim.clock.now, s.name, incarnation, r))
			continue
		}
		size := frameBytes(frame)
		s.bytes += size
		s.frames++
		other.bytes += size
		other.frames++
		sim.clock.after(sim.delay(s.zone, other.zone), func() {
			if !other.partitioned {
				other.accountant.Report(sim.clock.now, s.name, incarnation, r)
			}
		})
	}
	sim.advance(s)
}

// sendWork sends a frame between a gateway and a sidecar and counts its bytes for
// both. A partition loses frames on their way, in either direction.
func (sim *simulation) sendWork(g *gateway, s *sidecar, frame wire.Work, deliver func()) {
	if g.partitioned {
		return
	}
	size := frameBytes(frame)
	g.bytes += size
	g.frames++
	s.bytes += size
	s.frames++
	sim.clock.after(sim.delay(g.zone, s.zone), func() {
		if !g.partitioned {
			deliver()
		}
	})
}

// frameBytes returns the size of a frame on the wire.
func frameBytes(frame any) int64 {
	data, err := link.Encode(frame)
	if err != nil {
		panic(err) // all frames of this package can be encoded
	}
	return int64(len(data)) + frameOverhead
}

// scheduleFault schedules the plan's fault and its end.
func (sim *simulation) scheduleFault() {
	at := func(d time.Duration, do func()) { sim.clock.after(d, do) }
	switch sim.plan.Fault {
	case GatewayCut:
		at(faultStart, func() { sim.partitionGateway(sim.gateways[0]) })
		at(faultStart+faultDuration, func() { sim.reconnectGateway(sim.gateways[0]) })
	case AccountantLost:
		at(faultStart, func() { sim.accountant = nil })
		at(faultStart+2*time.Second, sim.replaceAccountant)
	case SidecarsRestart:
		at(faultStart, sim.restartSidecars)
	case EngineSlow:
		at(faultStart, func() { sim.engines[0].setSpeed(0.25) })
	case ReportsCut:
		at(faultStart, func() { sim.setReportsPartitioned(true) })
		at(faultStart+faultDuration, func() { sim.setReportsPartitioned(false) })
	}
}

// partitionGateway breaks all links of a gateway; both sides notice at once.
func (sim *simulation) partitionGateway(g *gateway) {
	g.partitioned = true
	for _, s := range sim.sidecars {
		s.queue.DropGateway(sim.clock.now, g.name)
		g.placer.RemoveSidecar(s.name)
		sim.advance(s)
	}
	g.placer.TakeActions()
}

// reconnectGateway restores all links of a gateway.
func (sim *simulation) reconnectGateway(g *gateway) {
	g.partitioned = false
	for _, s := range sim.sidecars {
		g.placer.SetSidecar(s.name, engineIDs(s))
	}
	sim.applyActions(g)
}

// replaceAccountant starts an accountant without state in another availability zone,
// to which all sidecars report in full.
func (sim *simulation) replaceAccountant() {
	sim.accountant = sim.newAccountant()
	sim.accountantZone = 2
	for _, s := range sim.sidecars {
		sim.sendFullReport(s)
	}
}

// sendFullReport sends a report of all service, as on a new link.
func (sim *simulation) sendFullReport(s *sidecar) {
	s.packer = wire.ReportPacker{}
	sim.sendReport(s, s.queue.Report(sim.clock.now, true))
}

// setReportsPartitioned breaks or restores the links between half the sidecars and the
// accountant.
func (sim *simulation) setReportsPartitioned(partitioned bool) {
	for _, s := range sim.sidecars[:len(sim.sidecars)/2] {
		s.partitioned = partitioned
		if !partitioned {
			sim.sendFullReport(s)
		}
	}
}

// restartSidecars restarts half the sidecars without their state. Their requests are
// lost, and the gateways requeue them.
func (sim *simulation) restartSidecars() {
	for _, s := range sim.sidecars[:(len(sim.sidecars)+1)/2] {
		s.incarnation++
		s.queue = sim.newQueue()
		s.packer = wire.ReportPacker{}
		if s.accountant != nil {
			s.accountant = sim.newAccountant()
		}
		var lost []*request
		for _, e := range s.engines {
			s.queue.SetUpstream(e.id, max(sim.plan.MaxRunning, sim.plan.Batch), false)
			for _, r := range e.drop() {
				lost = append(lost, r.request)
			}
		}
		for _, p := range s.pending {
			lost = append(lost, p.request)
		}
		s.pending = make(map[uint64]*pendingRequest)
		for _, g := range sim.gateways {
			g.placer.RemoveSidecar(s.name)
			g.placer.SetSidecar(s.name, engineIDs(s))
		}
		sortRequests(lost)
		for _, r := range lost {
			sim.gateways[r.gateway].placer.Requeue(sim.clock.now, r.shareRequest, s.name)
		}
	}
	for _, g := range sim.gateways {
		sim.applyActions(g)
	}
}
