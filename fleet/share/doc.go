// Package share shares the capacity of upstreams fairly among teams; its entry
// points are Placer in a gateway, Queue in a sidecar and Accountant in the
// leading controller. RetryBudget and ConcurrencyLimit bound retries and the
// concurrency of one upstream.
//
// Engines know no priorities, so the order of requests is decided before the
// engine. A gateway tells sidecars only how many requests of a team wait, capped
// at a small window (Demand). A sidecar grants each free slot to the team with
// the least fleet-wide service per weight so far (Grant), and the gateway binds
// one of the team's waiting requests to it. Service is counted in units of cost:
// tokens for model services, milliseconds of a slot for plain ones.
//
// Each team's virtual service is its service divided by its weight, as in
// start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) and the virtual
// token counter of Sheng et al., "Fairness in Serving Large Language Models"
// (OSDI 2024). Sidecars report their counters to the Accountant, which answers
// with the totals of the fleet. Virtual time is the least virtual service among
// the backlogged teams; a team that returns from idleness starts from it.
//
// A request is charged for service as it receives it, and for a small reserve
// from its grant to its end. Estimates of a request's cost are not used: they are
// rough, and docs/design/sharing.md shows that the reserve does better.
//
// A slot is the right to run one request on an upstream. Sidecars grant some
// slots before they are free: pipelined ones cover the time that a grant travels,
// and prefetched ones save messages where runs are short.
//
// All types are pure state machines: the time and messages are arguments, and
// messages or actions are results. They start no goroutine, read no clock and are
// not safe for concurrent use.
package share
