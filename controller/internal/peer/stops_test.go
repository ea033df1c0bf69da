package peer

import (
	"bytes"
	"io/fs"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/telemetry"
)

// keptCharacters is the length at which collectors cut off a line.
const keptCharacters = 200

// TestCutStopLineShowsCause guards against a line about a stopped replica that, cut off as
// collectors do, says neither why it stopped nor how often, and that a disk which stays full
// repeats five times a second.
func TestCutStopLineShowsCause(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := newStops(telemetry.NewLogger(&out, "controller ctl-gr-central-a-1"))
	full := merry.Prepend(&fs.PathError{
		Op:   "write",
		Path: "/var/lib/baobabpaddle/controller/log",
		Err:  syscall.ENOSPC,
	}, "write the log")
	now := time.Unix(1_000_000, 0)
	s.noteStop(replica.Status{}, stopCause(full), now.Add(-4730*time.Millisecond), now)
	s.logStop(full, now)
	for range 20 { // four seconds
		now = now.Add(retryInterval)
		s.noteFailedStart()
		s.logStop(full, now)
	}
	is.Equal(s.history.Stops, 1)
	is.Equal(s.history.LastStop, causeNoSpace)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	line := regexp.MustCompile(`"time":"[^"]*"`).ReplaceAllString(lines[0], `"time":"2026-01-02T03:04:05.000000Z"`)
	is.Equal(line[:keptCharacters], `{"time":"2026-01-02T03:04:05.000000Z","level":"WARN",`+
		`"msg":"replica stopped, started again from its data folder","cause":"no_space","stops":1,"failed_starts":0,`+
		`"ran_ms":4730,"detail":"write the log: w`)
	now = now.Add(2 * time.Second)
	s.noteStop(replica.Status{}, stopCause(full), now.Add(-2*time.Second), now)
	s.logStop(full, now)
	is.True(strings.Contains(out.String(), `"stops":2,"failed_starts":0,"ran_ms":2000`)) // at once: it had run
}
