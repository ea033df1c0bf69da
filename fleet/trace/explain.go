package trace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Explanation is what logs tell of one request.
type Explanation struct {
	// Lines are those about the request, and about the upstreams and the leader that
	// it depended on while it was under way, in order of time.
	Lines []Line
	// Status is what the caller got; zero when it got none, or when that is not known.
	Status int
	// Outcome is that of the last line, MsgRefused for a refusal, or empty.
	Outcome string
	// Reason says in a sentence why the request ended as it did.
	Reason string
	// Missing says what the logs don't hold; empty when they are complete.
	Missing string
}

// Messages of lines that are not about requests.
const (
	msgStarted = "gateway started"
	msgPaused  = "the process stood still"
)

// contextWindow is how far before and after a request lines about what it depended on are
// of interest.
const contextWindow = 5 * time.Second

// Explain finds out from the logs of all processes what became of a request.
func Explain(lines []Line, request string) Explanation {
	var e Explanation
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		e.Reason = "no process logged this request: it reached none, or it was answered well and left out, or its process was killed before its lines were written"
		e.Missing = describeMissing(lines)
		return e
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	e.Lines = append(e.Lines, own...)
	e.Lines = append(e.Lines, contextLines(lines, own)...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	last := own[len(own)-1]
	switch last.Message {
	case MsgRefused:
		e.Status = int(last.Number(KeyStatus))
		e.Outcome = MsgRefused
		e.Reason = fmt.Sprintf("refused with %d: %s", e.Status, explainRefusal(last))
	case MsgEnded:
		e.Status = int(last.Number(KeyStatus))
		e.Outcome = last.Text(KeyOutcome)
		e.Reason = explainEnding(own, last)
	default:
		e.Reason = "it was at an upstream when the log of " + last.Process + " ends or its process stopped"
		e.Missing = "the end of the request is not in the logs"
		if again := nextStart(lines, last); !again.IsZero() {
			e.Missing += "; " + last.Process + " started anew at " + again.Format(time.RFC3339Nano)
		}
	}
	return e
}

// explainRefusal explains a line about a explainRefusal.
func explainRefusal(l Line) string {
	switch l.Text(KeyReason) {
	case "over_share", "ahead":
		lead := ""
		if ms := l.Number(KeyTeamLead); ms > 0 {
			lead = fmt.Sprintf(", it was %.0f ms ahead of other teams that want more", ms)
		}
		return fmt.Sprintf("team %s had %.0f tokens of the %.0f that it is owed within the window%s, and the best of %.0f upstreams has %.0f ms to read before it and %.0f ms for it",
			l.Text(KeyTeam), l.Number(KeyTeamReceived), l.Number(KeyTeamShare), lead, l.Number(KeyUsableUpstreams), l.Number(KeyReadAhead), l.Number(KeyReadOwn))
	case "over_share_lately":
		return "team " + l.Text(KeyTeam) + " was refused for its share on this route a moment before"
	case "busy":
		return fmt.Sprintf("the best of %.0f upstreams of %s would begin to read it after %.0f ms and take %.0f ms, with an objective of %.0f ms",
			l.Number(KeyUsableUpstreams), l.Text(KeyService), l.Number(KeyReadAhead), l.Number(KeyReadOwn), l.Number(KeyObjective))
	case "not_ready":
		return fmt.Sprintf("%s; its proof that version %.0f is the newest had %.0f ms left", l.Text(KeyCause), l.Number(KeyConfiguration), l.Number(KeyProofLeft))
	}
	return l.Text(KeyCause)
}

// explainEnding explains the last line of a request that went to upstreams.
func explainEnding(own []Line, last Line) string {
	tried, why := Line{}, ""
	for _, l := range own {
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

// contextLines returns the lines about the upstreams that were tried, and about the
// links and processes of the gateway, close to the request.
func contextLines(lines, own []Line) []Line {
	first, last := own[0].Time.Add(-contextWindow), own[len(own)-1].Time.Add(contextWindow)
	upstreams := make(map[string]bool)
	for _, l := range own {
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
		case MsgSuspended, MsgWorksAgain:
			if upstreams[l.Text(KeyUpstream)] {
				out = append(out, l)
			}
		case "linked to the leader", "link to the leader lost", msgStarted, "gateway drains", "load", msgPaused:
			if l.Process == own[0].Process {
				out = append(out, l)
			}
		}
	}
	return out
}

// nextStart returns when a line's process started next; zero when it did not.
func nextStart(lines []Line, l Line) time.Time {
	for _, other := range lines {
		if other.Process == l.Process && other.Message == msgStarted && other.Time.After(l.Time) {
			return other.Time
		}
	}
	return time.Time{}
}

// describeMissing names the gateways that may have had a request without a line: those that
// were killed, and those that stood still.
func describeMissing(lines []Line) string {
	starts := make(map[string]int)
	paused := make(map[string]bool)
	for _, l := range lines {
		switch l.Message {
		case msgStarted:
			starts[l.Process]++
		case "gateway stopped":
			starts[l.Process]--
		case msgPaused:
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
