package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// msgStoodStill is the message in which a process logs that it stood still, and stoodStillInterval
	// the interval at which it looks: it may have run that long within the time that it logs.
	msgStoodStill      = "the process stood still"
	stoodStillInterval = 500 * time.Millisecond
	// ownInterval is the interval at which the soak looks for its own standstills, and minOwnStandstill
	// the shortest of them that is recorded.
	ownInterval      = 10 * time.Millisecond
	minOwnStandstill = 30 * time.Millisecond
)

// GatewayStopped implements FaultHistory.
func (s *Soak) GatewayStopped(index int, from, to time.Time) bool {
	return s.fleet.gateways[index].faultTimes.overlaps(from, to, 0)
}

// Standstill implements FaultHistory.
func (s *Soak) Standstill(index int, from, to time.Time) time.Duration {
	return covered(append(s.fleet.gateways[index].standstills.all(), s.standstills.all()...), from, to)
}

// covered returns how much of the time between from and to the intervals cover.
func covered(list []interval, from, to time.Time) time.Duration {
	slices.SortFunc(list, func(a, b interval) int { return a.from.Compare(b.from) })
	sum := time.Duration(0)
	for _, one := range list {
		begin, end := one.from, one.to
		if begin.Before(from) {
			begin = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		if end.After(begin) {
			sum += end.Sub(begin)
			from = end
		}
	}
	return sum
}

// watchOwnStandstills records the times at which the soak itself did not run, until the context ends.
func (s *Soak) watchOwnStandstills(ctx context.Context) {
	ticker := time.NewTicker(ownInterval)
	defer ticker.Stop()
	last := time.Now()
	for ctx.Err() == nil {
		<-ticker.C
		now := time.Now()
		if now.Sub(last) >= minOwnStandstill+ownInterval {
			s.standstills.add(interval{
				from: last.Add(ownInterval),
				to:   now,
			})
		}
		last = now
	}
}

// readStandstills records the standstills that a process has logged since the last call.
func (p *process) readStandstills() error {
	file, err := os.Open(filepath.Join(p.work, p.name+".log"))
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Seek(p.logRead, io.SeekStart); err != nil {
		return err
	}
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return nil // the rest is not a whole line yet
		}
		if err != nil {
			return err
		}
		p.logRead += int64(len(line))
		if !bytes.Contains(line, []byte(msgStoodStill)) {
			continue
		}
		var record struct {
			Time         time.Time `json:"time"`
			PausedMillis int64     `json:"paused_ms"`
		}
		if err := json.Unmarshal(line, &record); err != nil {
			return err
		}
		p.standstills.add(interval{
			from: record.Time.Add(stoodStillInterval - time.Duration(record.PausedMillis)*time.Millisecond),
			to:   record.Time,
		})
	}
}
