// Program explain-check checks the explanations that package trace derives from logs. For
// every request that the workload bench lists as not served, it compares the explanation
// with the outcome that the bench observed, and prints how many agree. Its input is the
// bench's output, which holds the logs of all processes.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/trace"
)

type commandLine struct {
	Files []string `arg:"" type:"existingfile" help:"Output of bench runs with --log all."`
}

// unserved is a request that the bench lists as not served.
type unserved struct {
	request     string
	lastOutcome string // outcome of its last try, as the bench prints it
}

var (
	lastOutcomeLine = regexp.MustCompile(`^not served, last try '([^']+)'`)
	requestLine     = regexp.MustCompile(`^\s+[0-9.-]+ s\s+request ([0-9a-f]+) `)
)

// unservedRequests returns the requests that the bench's output lists as not served, each
// with the outcome in the heading above it.
func unservedRequests(output []byte) []unserved {
	var out []unserved
	lastOutcome := ""
	scanner := bufio.NewScanner(bytes.NewReader(output))
	scanner.Buffer(nil, len(output)+1)
	for scanner.Scan() {
		line := scanner.Text()
		if m := lastOutcomeLine.FindStringSubmatch(line); m != nil {
			lastOutcome = m[1]
			continue
		}
		if m := requestLine.FindStringSubmatch(line); m != nil && lastOutcome != "" {
			out = append(out, unserved{
				request:     m[1],
				lastOutcome: lastOutcome,
			})
			continue
		}
		if !strings.HasPrefix(line, " ") {
			lastOutcome = ""
		}
	}
	return out
}

// agrees reports whether an explanation is consistent with the outcome that the bench
// observed. A caller that gave up or lost its connection saw no status, so the logs may
// show an answer below 300 or the gateway's own 504; a caller that could not connect
// must have left no log line.
func agrees(lastOutcome string, e trace.Explanation) bool {
	switch lastOutcome {
	case "429", "502", "503", "504", "401", "404":
		return fmt.Sprint(e.Status) == lastOutcome
	case "deadline", "cut in the answer", "cut, no answer":
		return len(e.Lines) > 0 && (e.Status < 300 || e.Status == 504)
	case "no connection":
		return len(e.Lines) == 0
	}
	status, byUpstream := strings.CutSuffix(lastOutcome, " from a server")
	return byUpstream && fmt.Sprint(e.Status) == status && strings.HasPrefix(e.Outcome, "answered")
}

// Run compares the requests of all files and prints the totals. A request whose log lines
// are missing because a process was killed is counted apart.
func (c *commandLine) Run() error {
	agreeing, missing, total := 0, 0, 0
	for _, name := range c.Files {
		output, err := os.ReadFile(name)
		if err != nil {
			return merry.Prepend(err, "read bench output")
		}
		lines, err := trace.Read(bytes.NewReader(output))
		if err != nil {
			return err
		}
		for _, u := range unservedRequests(output) {
			total++
			e := trace.Explain(lines, u.request)
			verdict := "differs"
			switch {
			case agrees(u.lastOutcome, e):
				agreeing++
				verdict = "agrees"
			case len(e.Lines) == 0 && e.Missing != "":
				missing++
				verdict = "lost"
			}
			fmt.Printf("%-8s %s %s: bench %q, logs: %s\n", verdict, name, u.request, u.lastOutcome, e.Reason)
		}
	}
	fmt.Printf("agreed %d of %d; lines lost by kills %d\n", agreeing, total, missing)
	return nil
}

func main() {
	program.Run("explain-check", "Compares explanations from logs with the outcomes that the bench observed.", &commandLine{})
}
