package replica

import (
	"bytes"
	"io"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
)

// keptCharacters is the length at which collectors cut off a line.
const keptCharacters = 200

// Identifiers of a group of three voters.
const (
	ownID    = 201_456_789_012_345
	secondID = 187_654_321_098_765
	thirdID  = 91_234_567_890_123
)

// newLoggedReplica returns a replica that does not run, with the log and history.
func newLoggedReplica(t *testing.T, log *slog.Logger, history History, members *raft.Members) *Replica {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: ownID,
		DiskID:    "6f0a2b5c7d8e9f10a1b2c3d4e5f60718",
		Members:   members,
	}))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	t.Cleanup(store.Close)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Controller,
	})
	is.NoErr(err)
	dialer := link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
	}
	r, err := New(Settings{
		History: history,
	}, store, restored, dialer, nil, log)
	is.NoErr(err)
	return r
}

// threeVoters returns a group of three voters.
func threeVoters() raft.Members {
	var out raft.Members
	for id, address := range map[uint64]string{
		ownID:    "10.1.0.11:7680",
		secondID: "10.1.0.21:7680",
		thirdID:  "10.1.0.31:7680",
	} {
		out.List = append(out.List, raft.Member{
			ID:      id,
			Address: address,
			Voter:   true,
		})
	}
	return out
}

// TestCutLeaderlessLineShowsReason guards against a line about a missing leader that, cut off
// as collectors do, shows neither the reason nor what the replica hears.
func TestCutLeaderlessLineShowsReason(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	stopped := History{
		Stops:           1,
		LastStop:        "no_space",
		StoppedAt:       now.Add(-12 * time.Second),
		LeaderlessSince: now.Add(-12*time.Second - 345*time.Millisecond),
	}
	const begin = `{"time":"2026-01-02T03:04:05.000000Z","level":"WARN","msg":"no leader is known",`
	for name, c := range map[string]struct {
		history      History
		group        raft.Members
		linked       []uint64
		heard, votes []uint64
		want         string
	}{
		"the replica was started again and hears nothing": {
			history: stopped,
			group:   threeVoters(),
			linked:  []uint64{thirdID, secondID},
			votes:   []uint64{ownID},
			want:    `"reason":"silent_links","leaderless_ms":12345,"heard":1,"linked":3,"votes":1,"stops":1,"last_stop":"no_space","term":1,`,
		},
		"the others are gone": {
			group: threeVoters(),
			votes: []uint64{ownID},
			want:  `"reason":"few_links","leaderless_ms":12345,"heard":1,"linked":1,"votes":1,"term":1,"role":"pre-candidate","quorum":2`,
		},
		"votes are refused": {
			group:  threeVoters(),
			linked: []uint64{thirdID, secondID},
			heard:  []uint64{thirdID, secondID},
			votes:  []uint64{ownID},
			want:   `"reason":"few_votes","leaderless_ms":12345,"heard":3,"linked":3,"votes":1,"term":1,"role":"pre-candidate","quorum":2`,
		},
		"the replica has no group": {
			want: `"reason":"no_group","leaderless_ms":12345,"heard":0,"linked":0,"votes":0,"term":1,"role":"pre-candidate","quorum":1`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			r := newLoggedReplica(t, telemetry.NewLogger(&out, "controller ctl-gr-central-a-1"), c.history, nil)
			for _, id := range c.heard {
				r.arrivals.note(id, now.Add(-time.Second))
			}
			r.logLeaderless(now, Status{
				ReplicaID:       ownID,
				Role:            "pre-candidate",
				Term:            1,
				Votes:           c.votes,
				Members:         c.group,
				LeaderlessSince: now.Add(-12*time.Second - 345*time.Millisecond),
			}, c.linked)
			line := regexp.MustCompile(`"time":"[^"]*"`).ReplaceAllString(out.String(), `"time":"2026-01-02T03:04:05.000000Z"`)
			is.True(strings.HasPrefix(line[:keptCharacters], begin+c.want))
			t.Log(line)
		})
	}
}

// TestLeaderlessSinceSurvivesRestart guards against a replica that is started again within its
// process and states that it has known no leader for a second only.
func TestLeaderlessSinceSurvivesRestart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	log := slog.New(slog.DiscardHandler)
	stoppedAt := now.Add(-time.Minute)
	first := History{}.After(Status{
		Leader: secondID,
	}, "no_space", stoppedAt)
	is.Equal(first.LeaderlessSince, stoppedAt) // it knew a leader until it stopped
	r := newLoggedReplica(t, log, first, nil)
	is.Equal(r.Status().LeaderlessSince, stoppedAt)
	second := first.After(r.Status(), "no_space", now)
	is.Equal(second.LeaderlessSince, stoppedAt)
	is.Equal(second.Stops, 2)
	is.Equal(second.StoppedAt, now)
}

// TestKnownLeaderIsLogged guards against a log that never says that the time without a leader
// has ended.
func TestKnownLeaderIsLogged(t *testing.T) {
	is := is.New(t)
	out, in := io.Pipe()
	lines := make(chan string, 1)
	go func() {
		defer close(lines)
		buffer := make([]byte, 4096)
		for {
			n, err := out.Read(buffer)
			if err != nil {
				return
			}
			if line := string(buffer[:n]); strings.Contains(line, "leader is known again") {
				lines <- line
			}
		}
	}()
	r := newLoggedReplica(t, telemetry.NewLogger(in, "controller a"), History{
		Stops:           3,
		LastStop:        "no_space",
		StoppedAt:       time.Now().Add(-time.Second),
		LeaderlessSince: time.Now().Add(-time.Minute),
	}, &raft.Members{
		List: []raft.Member{
			{
				ID:      ownID,
				Address: "10.1.0.11:7680",
				Voter:   true,
			},
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(t.Context()) // ends with the context
	}()
	t.Cleanup(func() {
		<-done
		is.NoErr(in.Close())
	})
	select {
	case line := <-lines:
		is.True(strings.Contains(line, `"msg":"leader is known again","leaderless_ms":6`)) // 60 s and the election
		is.True(strings.Contains(line, `"stops":3,"last_stop":"no_space"`))
	case <-time.After(10 * time.Second):
		t.Fatal("no line within ten seconds")
	}
	eventually(t, "the status names a leader", func() bool { return r.Status().LeaderlessSince.IsZero() })
}
