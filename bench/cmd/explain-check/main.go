// Program explain-check compares what the logs of played days tell of requests that
// were not served with the bench's own account of them. It reads the bench's output,
// with the logs of all processes in it, and prints how many agree of all.
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
	Files []string `arg:"" type:"existingfile" help:"Output of days that were played with --log all."`
}

// unserved is a request that the bench lists as not served.
type unserved struct {
	request string
	ending  string // of its last try, in the bench's words
}

var (
	endingLine  = regexp.MustCompile(`^not served, last try '([^']+)'`)
	requestLine = regexp.MustCompile(`^\s+[0-9.-]+ s\s+request ([0-9a-f]+) `)
)

// list returns the requests that are listed in the bench's output.
func list(output []byte) []unserved {
	var out []unserved
	ending := ""
	scanner := bufio.NewScanner(bytes.NewReader(output))
	scanner.Buffer(nil, len(output)+1)
	for scanner.Scan() {
		line := scanner.Text()
		if m := endingLine.FindStringSubmatch(line); m != nil {
			ending = m[1]
			continue
		}
		if m := requestLine.FindStringSubmatch(line); m != nil && ending != "" {
			out = append(out, unserved{
				request: m[1],
				ending:  ending,
			})
			continue
		}
		if !strings.HasPrefix(line, " ") {
			ending = ""
		}
	}
	return out
}

// agrees reports whether an explanation fits the ending that the bench tells.
func agrees(ending string, e trace.Explanation) bool {
	switch ending {
	case "429", "502", "503", "504", "401", "404":
		return fmt.Sprint(e.Status) == ending
	case "deadline", "cut in the answer", "cut, no answer":
		return len(e.Lines) > 0 && (e.Status < 300 || e.Status == 504)
	case "no connection":
		return len(e.Lines) == 0
	}
	status, byUpstream := strings.CutSuffix(ending, " from a server")
	return byUpstream && fmt.Sprint(e.Status) == status && strings.HasPrefix(e.Outcome, "answered")
}

// Run compares all files.
func (c *commandLine) Run() error {
	agreed, lost, all := 0, 0, 0
	for _, name := range c.Files {
		output, err := os.ReadFile(name)
		if err != nil {
			return merry.Prepend(err, "read the output")
		}
		lines, err := trace.Read(bytes.NewReader(output))
		if err != nil {
			return err
		}
		for _, u := range list(output) {
			all++
			e := trace.Explain(lines, u.request)
			verdict := "differs"
			switch {
			case agrees(u.ending, e):
				agreed++
				verdict = "agrees"
			case len(e.Lines) == 0 && e.Missing != "":
				lost++
				verdict = "lost"
			}
			fmt.Printf("%-8s %s %s: bench %q, logs: %s\n", verdict, name, u.request, u.ending, e.Reason)
		}
	}
	fmt.Printf("agreed %d of %d; lines lost by kills %d\n", agreed, all, lost)
	return nil
}

func main() {
	program.Run("explain-check", "Compares logs with the bench's account of unserved requests.", &commandLine{})
}
