package trace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Explanation is what the logs show about one request.
type Explanation struct {
	// Lines are the lines about the request, and about its upstreams, its gateway and
	// the gateway's link to the leader while it was in flight, sorted by time.
	Lines []Line
	// Status is the status that the caller received; zero if it received none or if it
	// is unknown.
	Status int
	// Outcome is the outcome in the last line, MsgRefused for a refusal, or empty if the
	// end of the request was not logged.
	Outcome string
	// Reason states why the request ended as it did.
	Reason string
	// Missing states what is missing from the logs; empty if they are complete.
	Missing string
}

// Messages of lines about gateways.
const (
	msgGatewayStarted = "gateway started"
	msgProcessPaused  = "the process stood still"
)

// contextWindow is how long before the first and after the last line of a request lines
// about its upstreams and its gateway are included.
const contextWindow = 5 * time.Second

// Explain determines from the log lines of all processes what became of the request
// with the given identifier.
func Explain(lines []Line, request string) Explanation {
	var e Explanation
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		e.Reason = "no process logged this request: it reached none, or it was answered well or refused by a crowded gateway and left out, or its process was killed before its lines were written"
		e.Missing = describeMissing(lines)
		return e
	}
	slices.SortStableFunc(requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	e.Lines = append(e.Lines, requestLines...)
	e.Lines = append(e.Lines, contextLines(lines, requestLines)...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	last := requestLines[len(requestLines)-1]
	switch last.Message {
	case MsgRefused:
		e.Status = int(last.Number(KeyStatus))
		e.Outcome = MsgRefused
		e.Reason = fmt.Sprintf("refused with %d: %s", e.Status, explainRefusal(last))
	case MsgEnded:
		e.Status = int(last.Number(KeyStatus))
		e.Outcome = last.Text(KeyOutcome)
		e.Reason = explainEnding(requestLines, last)
	default:
		e.Reason = "it was at an upstream when the log of " + last.Process + " ends or its process stopped"
		e.Missing = "the end of the request is not in the logs"
		if restart := nextStart(lines, last); !restart.IsZero() {
			e.Missing += "; " + last.Process + " started anew at " + restart.Format(time.RFC3339Nano)
		}
	}
	return e
}

// explainRefusal returns the reason of a refusal from its line.
func explainRefusal(l Line) string {
	switch l.Text(KeyReason) {
	case "over_share", "ahead":
		lead := ""
		if ms := l.Number(KeyTeamLead); ms > 0 {
			lead = fmt.Sprintf(", it was %.0f ms ahead of other teams that want more", ms)
		}
		if limit := l.Number(KeyRateLimit); limit > 0 {
			return fmt.Sprintf("upstreams of %s state rate limits (%s), and their next requests are left to teams that received less than %s",
				l.Text(KeyService), describeLimit(limit), l.Text(KeyTeam))
		}
		return fmt.Sprintf("team %s had %.0f tokens of the %.0f that it is owed within the window%s, and the best of %.0f upstreams has %.0f ms to read before it and %.0f ms for it",
			l.Text(KeyTeam), l.Number(KeyTeamAdmitted), l.Number(KeyTeamShare), lead, l.Number(KeyUsableUpstreams), l.Number(KeyQueueDelay), l.Number(KeyPrefillTime))
	case "over_share_lately":
		return "team " + l.Text(KeyTeam) + " was refused for its share on this route a moment before"
	case "busy":
		return fmt.Sprintf("the best of %.0f upstreams of %s would begin to read it after %.0f ms and take %.0f ms, with an objective of %.0f ms",
			l.Number(KeyUsableUpstreams), l.Text(KeyService), l.Number(KeyQueueDelay), l.Number(KeyPrefillTime), l.Number(KeyObjective))
	case string(dispatch.RateLimited):
		return fmt.Sprintf("all usable upstreams of %s state rate limits (%s), which are used up",
			l.Text(KeyService), describeLimit(l.Number(KeyRateLimit)))
	case string(dispatch.ColdUpstreams):
		return fmt.Sprintf("the usable upstreams of %s have just started and are cold, or state rate limits (%s), which are used up",
			l.Text(KeyService), describeLimit(l.Number(KeyRateLimit)))
	case string(dispatch.Quarantined):
		if digest := l.Text(KeyDigest); digest != "" {
			return fmt.Sprintf("request %s is quarantined: %.0f upstreams crashed with it, and none answered it since; the next trial was due in %.0f ms",
				digest, l.Number(KeyCrashes), l.Number(KeyTrialIn))
		}
		return fmt.Sprintf("prompt segment %s is quarantined: %.0f upstreams crashed with requests that hold it, and none answered one since; the next trial was due in %.0f ms",
			l.Text(KeySegment), l.Number(KeyCrashes), l.Number(KeyTrialIn))
	case string(dispatch.UnknownVersion), string(dispatch.VersionUnavailable):
		return fmt.Sprintf("%s; attempt %s of its caller began the stream, and event %s is the last one that the caller has",
			l.Text(KeyCause), l.Text(KeyResumes), l.Text(KeyResumesAfter))
	case "not_ready":
		return fmt.Sprintf("%s; its proof that version %.0f is the newest had %.0f ms left", l.Text(KeyCause), l.Number(KeyConfiguration), l.Number(KeyProofLeft))
	}
	return l.Text(KeyCause)
}

// describeLimit describes the rate limit of the upstream that takes requests first.
func describeLimit(perSecond float64) string {
	return fmt.Sprintf("%.4g requests a second at the one that takes the next", perSecond)
}

// explainEnding returns the reason why a request that was sent to upstreams ended as it
// did, from all lines about it and the last of them.
func explainEnding(requestLines []Line, last Line) string {
	tried, why := Line{}, ""
	for _, l := range requestLines {
		switch l.Message {
		case MsgTried:
			tried = l
		case MsgNotRetried:
			why = l.Text(KeyReason)
		}
	}
	text := last.Text(KeyOutcome)
	switch text {
	case "answered":
		text = fmt.Sprintf("upstream %s answered %.0f", tried.Text(KeyUpstream), last.Number(KeyStatus))
	case "answered_late":
		text = fmt.Sprintf("upstream %s answered %.0f, its first byte after %.0f ms", tried.Text(KeyUpstream), last.Number(KeyStatus), last.Number(KeyFirstByte))
	case "caller_left":
		text = fmt.Sprintf("the caller left after %.0f ms, while upstream %s had it", last.Number(KeyTook), tried.Text(KeyUpstream))
	case "late":
		text = fmt.Sprintf("the deadline passed after %.0f ms, while upstream %s had it", last.Number(KeyTook), tried.Text(KeyUpstream))
	case "cut":
		text = fmt.Sprintf("the stream of upstream %s broke after event %q", tried.Text(KeyUpstream), tried.Text(KeyLastEvent))
	case "failed":
		text = fmt.Sprintf("upstream %s may have run it and gave no whole answer", tried.Text(KeyUpstream))
	}
	if cause := tried.Text(KeyCause); cause != "" {
		text += " (" + cause + ")"
	}
	if why != "" {
		text += "; it was not sent elsewhere: " + why
	}
	return text
}

// contextLines returns the lines within contextWindow of the request about its upstreams,
// its gateway's process and that gateway's link to the leader.
func contextLines(lines, requestLines []Line) []Line {
	first, last := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	upstreams := make(map[string]bool)
	for _, l := range requestLines {
		if u := l.Text(KeyUpstream); u != "" {
			upstreams[u] = true
		}
	}
	var out []Line
	for _, l := range lines {
		if l.Request != "" || l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		switch l.Message {
		case MsgSuspended, MsgWorksAgain, MsgRateLimitStarted, MsgRateLimitChanged, MsgRateLimitEnded:
			if upstreams[l.Text(KeyUpstream)] {
				out = append(out, l)
			}
		case "linked to the leader", "link to the leader lost", msgGatewayStarted, "gateway drains", "load", msgProcessPaused:
			if l.Process == requestLines[0].Process {
				out = append(out, l)
			}
		}
	}
	return out
}

// nextStart returns when the process of a line next started; zero if it did not.
func nextStart(lines []Line, l Line) time.Time {
	for _, other := range lines {
		if other.Process == l.Process && other.Message == msgGatewayStarted && other.Time.After(l.Time) {
			return other.Time
		}
	}
	return time.Time{}
}

// describeMissing names the gateways that may have received a request without logging it:
// those that were killed, which start more often than they stop, and those whose process
// was paused.
func describeMissing(lines []Line) string {
	starts := make(map[string]int)
	paused := make(map[string]bool)
	for _, l := range lines {
		switch l.Message {
		case msgGatewayStarted:
			starts[l.Process]++
		case "gateway stopped":
			starts[l.Process]--
		case msgProcessPaused:
			paused[l.Process] = true
		}
	}
	killed := make(map[string]bool)
	for name, n := range starts {
		if n > 1 {
			killed[name] = true
		}
	}
	var text []string
	if len(killed) > 0 {
		text = append(text, fmt.Sprintf("these were killed and lost their last lines: %q", slices.Sorted(maps.Keys(killed))))
	}
	if len(paused) > 0 {
		text = append(text, fmt.Sprintf("these stood still for a while: %q", slices.Sorted(maps.Keys(paused))))
	}
	return strings.Join(text, "; ")
}
