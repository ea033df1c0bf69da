package serve

import (
	"math/rand/v2"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/steady"
)

// errOtherVersion means that an upstream runs another software version than the one that began
// the stream.
var errOtherVersion = merry.Sentinel("the upstream runs another software version than the one that began the stream")

// identifyStream sets stream and continues. A request that names only the last event of a
// stream continues one that nothing identifies.
func (x *exchange) identifyStream() {
	if x.route.Kind != configuration.Stream || !x.route.Resumable {
		return
	}
	attempt := x.call.ID
	if x.call.Resumes != "" || x.call.LastEvent != "" {
		x.continues = true
		attempt = x.call.Resumes
	}
	if attempt != "" {
		x.stream = origin.NewStream(x.team, attempt)
	}
}

// draw returns the number by which the route chooses a service. It is the same for all
// requests of one stream.
func (x *exchange) draw() float64 {
	if x.stream != 0 {
		return x.stream.Fraction()
	}
	return rand.Float64()
}

// recordOrigin records which software version begins a stream, before its first event is
// forwarded. For a stream that goes on it returns errOtherVersion unless the upstream runs the
// version that began it. An upstream that the list shows with another version than when the
// request was sent may have restarted in between, so its version is not known.
func (x *exchange) recordOrigin() error {
	version := x.upstream.Version
	if listed, ok := x.handler.scheduler.View().Upstreams[x.upstream.ID]; ok && listed.Version != version {
		version = ""
	}
	if x.headSent || x.continues {
		if version == "" || version != x.version {
			return errOtherVersion
		}
		return nil
	}
	x.begunAt = x.upstream.ID
	if x.versionUncertain {
		x.unsettledSince = steady.Now()
		return nil
	}
	x.version = version
	x.reportOrigin()
	return nil
}

// runsVersion reports whether an upstream runs the software version that began the stream, now and as
// the request was sent.
func (x *exchange) runsVersion(u dispatch.Upstream) bool {
	listed, ok := x.handler.scheduler.View().Upstreams[u.ID]
	return u.Version != "" && u.Version == x.version && (!ok || listed.Version == u.Version)
}

// reportOrigin reports which software version began the stream, if it can be resumed.
func (x *exchange) reportOrigin() {
	if x.stream == 0 {
		return
	}
	x.handler.scheduler.ReportBegun(x.stream, origin.Origin{
		Service: x.service,
		Version: x.version,
	})
}

// followVersion compares the software version that began the stream with the list, while the
// upstream that began it goes on. One whose version was uncertain is known once the list shows what
// was true later. If the list changes, it was behind when the stream began, since a restart would
// have broken the stream off: the stream can't be resumed, as its version may have been reported.
func (x *exchange) followVersion() {
	if x.continues || x.begunAt == "" || x.begunAt != x.upstream.ID {
		return
	}
	view := x.handler.scheduler.View()
	listed, ok := view.Upstreams[x.begunAt]
	switch {
	case !ok:
	case x.unsettledSince != 0 && x.unsettledSince.Before(view.ListAsOf):
		x.unsettledSince = 0
		x.version = listed.Version
		x.reportOrigin()
	case x.version != "" && listed.Version != x.version:
		x.version = ""
		x.reportOrigin()
	}
}

// otherServices returns the services of the route where the stream that the request continues may
// have begun, unless its service is the only one or known.
func (x *exchange) otherServices() []string {
	if !x.continues || x.version != "" || len(x.route.Split) == 0 {
		return nil
	}
	return x.route.Services()
}
