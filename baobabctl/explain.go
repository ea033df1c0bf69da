package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/trace"
)

type explainCommand struct {
	Request string   `arg:"" help:"Identifier that the caller sent with the request."`
	Files   []string `arg:"" type:"existingfile" help:"Logs of all processes, with or without prefixes of a collector."`
}

// Run prints the log lines that concern the request, in order of time, and the reason
// for its outcome.
func (c *explainCommand) Run() error {
	var lines []trace.Line
	for _, name := range c.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	writeExplanation(os.Stdout, c.Request, trace.Explain(lines, c.Request))
	return nil
}

// readLog reads the lines of one log file.
func readLog(name string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, merry.Prepend(err, "open the log")
	}
	defer f.Close()
	return trace.Read(f)
}

// writeExplanation writes the lines, those of the request itself marked with "*", then
// the reason, and what the logs lack if the reason depends on it.
func writeExplanation(w io.Writer, request string, e trace.Explanation) {
	for _, l := range e.Lines {
		mark := " "
		if l.Request == request {
			mark = "*"
		}
		var fields []string
		for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", key, l.Fields[key]))
		}
		fmt.Fprintf(w, "%s %s %s: %s %s\n", mark, l.Time.Format("15:04:05.000"), l.Process, l.Message, strings.Join(fields, " "))
	}
	fmt.Fprintf(w, "reason: %s\n", e.Reason)
	if e.Missing != "" {
		fmt.Fprintf(w, "missing: %s\n", e.Missing)
	}
}
