package model

import (
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// carryOut does what a placer decided.
func (w *world) carryOut(g *gateway) {
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
			if told := g.told[a.Sidecar]; !told[a.Demand.Team] {
				told[a.Demand.Team] = true
				f.Weights = append(f.Weights, wire.Weight{
					Team:   a.Demand.Team,
					Weight: w.weight(a.Demand.Team),
				})
			}
		case share.SendDecline:
			f := frameFor(a.Sidecar)
			f.Declines = append(f.Declines, a.Decline)
		case share.Start:
			w.start(g, a)
		case share.Reject:
			w.notRun++
			delete(w.requests, a.Request.ID)
		}
	}
	for _, s := range w.sidecars {
		if f := frames[s.name]; f != nil {
			w.sendToSidecar(g, s, *f)
		}
	}
}

func (w *world) sendToSidecar(g *gateway, s *sidecar, frame wire.Work) {
	incarnation := s.incarnation
	w.sendWork(g, s, frame, func() {
		for _, d := range frame.Declines {
			s.queue.Decline(w.clock.now, g.name, d)
		}
		if s.incarnation == incarnation {
			frame.AllDemands(func(d share.Demand) { s.queue.SetDemand(w.clock.now, g.name, d) })
		}
		w.advance(s)
	})
}

// start carries a request to a sidecar.
func (w *world) start(g *gateway, a share.Start) {
	r := w.requests[a.Request.ID]
	s := w.byName[a.Sidecar]
	incarnation := s.incarnation
	w.refill(r)
	w.clock.after(w.delay(g.zone, s.zone), func() {
		id := a.GrantID
		ok := s.incarnation == incarnation
		if ok && id == 0 {
			var grant share.Grant
			grant, ok = s.queue.GrantDirect(w.clock.now, g.name, a.Request.Team)
			id = grant.ID
		}
		if !ok || !s.queue.Arrive(w.clock.now, id, true) {
			w.clock.after(w.delay(g.zone, s.zone), func() {
				g.placer.Requeue(w.clock.now, a.Request, a.Sidecar)
				w.carryOut(g)
			})
			return
		}
		s.arrived[id] = &arrival{
			request: r,
			engine:  w.engineNamed(s, s.queue.UpstreamOf(id)),
		}
		w.advance(s)
	})
}

func (w *world) engineNamed(s *sidecar, id share.UpstreamID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// advance starts and grants what can be on one sidecar.
func (w *world) advance(s *sidecar) {
	for {
		id, ok := s.queue.StartNext(w.clock.now)
		if !ok {
			break
		}
		a := s.arrived[id]
		delete(s.arrived, id)
		w.toSidecar(s, a.engine.zone, func() {
			a.engine.admit(&running{
				request: a.request,
				id:      id,
				team:    a.request.team,
				left:    a.request.cost,
			})
		})
	}
	wire.GrantFrames(s.queue.IssueGrants(w.clock.now, nil), func(gateway string, frame wire.Work) {
		g := w.gatewayNamed(gateway)
		w.sendWork(g, s, frame, func() {
			frame.AllGrants(func(grant share.Grant) { g.placer.Grant(w.clock.now, s.name, grant) })
			w.carryOut(g)
		})
	})
	w.tellRoom(s)
}

func (w *world) tellRoom(s *sidecar) {
	names := make([]string, 0, len(w.gateways))
	for _, g := range w.gateways {
		if !g.cut {
			names = append(names, g.name)
		}
	}
	for _, name := range s.queue.AdvertiseCapacity(names, nil) {
		g := w.gatewayNamed(name)
		w.sendWork(g, s, wire.Work{
			SpareCapacity: []share.SpareCapacity{
				{
					Service:   service,
					Available: true,
				},
			},
		}, func() {
			g.placer.SetSpareCapacity(s.name, true)
			w.carryOut(g)
		})
	}
}

func (w *world) gatewayNamed(name string) *gateway {
	for _, g := range w.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// report sends a sidecar's report when it is due.
func (w *world) report(s *sidecar) {
	at, due := s.queue.ReportDue()
	if !due || w.clock.now.Before(at) || w.strategy == FIFO || w.strategy == Local || w.central() {
		return
	}
	if s.cut || w.accountant == nil {
		return
	}
	w.sendReport(s, s.queue.Report(w.clock.now, false))
}

func (w *world) sendReport(s *sidecar, r share.Report) {
	frame := wire.Account{
		Reports: []wire.PackedReport{s.packer.Pack(r)},
	}
	if w.strategy == Gossip {
		w.gossip(s, frame, r)
		return
	}
	s.bytes += frameBytes(frame)
	s.frames++
	delay := w.delay(s.zone, w.accountantZone)
	incarnation := s.incarnation
	accountant := w.accountant
	w.clock.after(delay, func() {
		if accountant != w.accountant || s.cut {
			return
		}
		totals := accountant.Report(w.clock.now, s.name, string(rune('a'+incarnation)), r)
		s.bytes += frameBytes(wire.Account{
			Totals: []wire.PackedTotals{wire.PackTotals(totals)},
		})
		s.frames++
		w.clock.after(delay, func() {
			if s.incarnation == incarnation && !s.cut {
				s.queue.SetTotals(w.clock.now, totals)
				w.advance(s)
			}
		})
	})
}

// gossip gives a report to every sidecar's own accountant.
func (w *world) gossip(s *sidecar, frame wire.Account, r share.Report) {
	incarnation := string(rune('a' + s.incarnation))
	for _, other := range w.sidecars {
		if other == s {
			s.queue.SetTotals(w.clock.now, s.accountant.Report(w.clock.now, s.name, incarnation, r))
			continue
		}
		size := frameBytes(frame)
		s.bytes += size
		s.frames++
		other.bytes += size
		other.frames++
		w.clock.after(w.delay(s.zone, other.zone), func() {
			if !other.cut {
				other.accountant.Report(w.clock.now, s.name, incarnation, r)
			}
		})
	}
	w.advance(s)
}

// scheduleFault plans the workload's fault.
func (w *world) scheduleFault() {
	at := func(d time.Duration, do func()) { w.clock.after(d, do) }
	switch w.plan.Fault {
	case GatewayCut:
		at(faultAt, func() { w.cutGateway(w.gateways[0]) })
		at(faultAt+faultFor, func() { w.joinGateway(w.gateways[0]) })
	case AccountantLost:
		at(faultAt, func() { w.accountant = nil })
		at(faultAt+2*time.Second, w.newHolder)
	case SidecarsRestart:
		at(faultAt, w.restartSidecars)
	case EngineSlow:
		at(faultAt, func() { w.engines[0].setSpeed(0.25) })
	case ReportsCut:
		at(faultAt, func() { w.cutReports(true) })
		at(faultAt+faultFor, func() { w.cutReports(false) })
	}
}

func (w *world) cutGateway(g *gateway) {
	g.cut = true
	for _, s := range w.sidecars {
		s.queue.DropGateway(w.clock.now, g.name)
		g.placer.RemoveSidecar(s.name)
		w.advance(s)
	}
	g.placer.TakeActions()
}

func (w *world) joinGateway(g *gateway) {
	g.cut = false
	for _, s := range w.sidecars {
		g.placer.SetSidecar(s.name, engineNames(s))
	}
	w.carryOut(g)
}

func (w *world) newHolder() {
	w.accountant = w.newAccountant()
	w.accountantZone = 2
	for _, s := range w.sidecars {
		w.beginReports(s)
	}
}

// beginReports sends everything over a new link.
func (w *world) beginReports(s *sidecar) {
	s.packer = wire.ReportPacker{}
	w.sendReport(s, s.queue.Report(w.clock.now, true))
}

func (w *world) cutReports(cut bool) {
	for _, s := range w.sidecars[:len(w.sidecars)/2] {
		s.cut = cut
		if !cut {
			w.beginReports(s)
		}
	}
}

// restartSidecars restarts half the sidecars with nothing remembered; what ran
// there is lost and comes again.
func (w *world) restartSidecars() {
	for _, s := range w.sidecars[:(len(w.sidecars)+1)/2] {
		s.incarnation++
		s.queue = w.newQueue()
		s.packer = wire.ReportPacker{}
		if s.accountant != nil {
			s.accountant = w.newAccountant()
		}
		var lost []*request
		for _, e := range s.engines {
			s.queue.SetUpstream(e.id, max(w.plan.Declared, w.plan.Batch), false)
			for _, r := range e.drop() {
				lost = append(lost, r.request)
			}
		}
		for _, a := range s.arrived {
			lost = append(lost, a.request)
		}
		s.arrived = make(map[uint64]*arrival)
		for _, g := range w.gateways {
			g.placer.RemoveSidecar(s.name)
			g.placer.SetSidecar(s.name, engineNames(s))
		}
		sortRequests(lost)
		for _, r := range lost {
			w.gateways[r.gateway].placer.Requeue(w.clock.now, r.inside, s.name)
		}
	}
	for _, g := range w.gateways {
		w.carryOut(g)
	}
}
