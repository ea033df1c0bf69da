package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
)

// EvacuatedZone describes an availability zone whose upstreams get no requests.
type EvacuatedZone struct {
	Zone string `json:"zone"`
	// Since is the leader's clock when the evacuation began.
	Since time.Time `json:"since"`
}

// EvacuationList is the answer to GET /v1/evacuations.
type EvacuationList struct {
	// Revision grows with each change of the evacuated zones.
	Revision uint64          `json:"revision"`
	Items    []EvacuatedZone `json:"items"`
}

// SetZones sets the availability zones of the deployment. Orders about other zones are
// refused, unless there are none in the list.
func (c *ConfigurationAPI) SetZones(zones []string) { c.zones.Store(&zones) }

// listEvacuations answers with the evacuated zones, ordered by zone.
func (c *ConfigurationAPI) listEvacuations(w *loggedResponse, r *http.Request) {
	current := c.currentReplica(w, r)
	if current == nil {
		return
	}
	out := EvacuationList{
		Items: []EvacuatedZone{},
	}
	current.View(func(s *state.State) {
		out.Revision = s.EvacuationRevision
		for _, e := range s.EvacuationList() {
			if e.Active {
				out.Items = append(out.Items, EvacuatedZone{
					Zone:  e.Zone,
					Since: e.Since,
				})
			}
		}
	})
	writeJSON(w, out)
}

// beginEvacuation begins the evacuation of a zone. It answers 200 when the order is committed.
func (c *ConfigurationAPI) beginEvacuation(w *loggedResponse, r *http.Request) {
	c.orderEvacuation(w, r, false)
}

// endEvacuation ends the evacuation of a zone. It answers 200 when the order is committed.
func (c *ConfigurationAPI) endEvacuation(w *loggedResponse, r *http.Request) {
	c.orderEvacuation(w, r, true)
}

// orderEvacuation has an order committed and counts the answer.
func (c *ConfigurationAPI) orderEvacuation(w *loggedResponse, r *http.Request, end bool) {
	order := state.EvacuationOrder{
		Zone: r.PathValue("zone"),
		End:  end,
	}
	w.zone = order.Zone
	c.commitEvacuation(w, r, order)
	name := "begin"
	if end {
		name = "end"
	}
	c.metrics.Counter(`controller_evacuation_orders_total{order="` + name + `",result="` + orderResult(w.status) + `"}`).Inc()
}

// orderResult returns the label of an answer's status in metrics.
func orderResult(status int) string {
	switch {
	case status == http.StatusOK:
		return "acknowledged"
	case status == http.StatusTemporaryRedirect:
		return "redirected"
	case status >= http.StatusInternalServerError:
		return "unavailable"
	}
	return "refused"
}

// commitEvacuation checks an order, has it executed and answers.
func (c *ConfigurationAPI) commitEvacuation(w *loggedResponse, r *http.Request, order state.EvacuationOrder) {
	if err := state.CheckZone(order.Zone); err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	member := c.memberReplica()
	if member == nil {
		c.redirectToMember(w, r)
		return
	}
	if !c.knowsZone(member, order.Zone) {
		problem.New(http.StatusNotFound, problem.NotFound, "the deployment has no availability zone of this name").Write(w)
		return
	}
	if !c.enoughVoters(member) {
		unavailable(w, "the controllers are still gathering")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replaceTimeout)
	defer cancel()
	result, err := c.executeEvacuation(ctx, member, order)
	switch {
	case err != nil:
		unavailable(w, err.Error())
	case result.Code != state.CodeOK:
		writeResult(w, result)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// executeEvacuation has an order executed after the last one about its zone. The order may have
// waited at a host that stood still, while its operator gave it up and ordered something else
// through another controller. The context ends when the operator has closed the connection,
// which is known by the time that a majority has confirmed the state; an order that is delayed
// later on is overtaken and changes nothing.
func (c *ConfigurationAPI) executeEvacuation(ctx context.Context, member *replica.Replica, order state.EvacuationOrder) (state.Result, error) {
	for {
		if err := member.Barrier(ctx); err != nil {
			return state.Result{}, err
		}
		if ctx.Err() != nil {
			return state.Result{}, ctx.Err()
		}
		member.View(func(s *state.State) { order.After = s.Evacuations[order.Zone].Revision })
		result, err := c.executor.Execute(ctx, state.Command{
			Evacuation: &order,
		}, 0)
		if err != nil || result.Code != state.CodeVersionConflict {
			return result, err
		}
	}
}

// knowsZone reports whether the deployment has an availability zone, as far as this controller
// knows. Without a list of zones it takes every zone for one of them. A zone that is recorded
// is known even if the list has changed, so that its evacuation can be ended.
func (c *ConfigurationAPI) knowsZone(r *replica.Replica, zone string) bool {
	if listed := c.zones.Load(); listed == nil || len(*listed) == 0 || slices.Contains(*listed, zone) {
		return true
	}
	recorded := false
	r.View(func(s *state.State) { _, recorded = s.Evacuations[zone] })
	return recorded
}
