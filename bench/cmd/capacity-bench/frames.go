package main

import (
	"time"

	"baobabpaddle/bench/internal/measure"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// overheadBytes is what one frame costs beside its encoding: its length, TLS,
// TCP with time stamps and IP.
const overheadBytes = 4 + 22 + 32 + 20

// frames prints the bytes of each message on the wire, with large numbers as in
// a fleet with history, and the time to encode one.
func frames() error {
	const number = 1_000_000
	team, err := measure.NewTeam("team-12345")
	if err != nil {
		return err
	}
	team.Version = number
	team.Number = number
	list := []struct {
		name  string
		frame any
		alone bool
	}{
		{
			name: "demand",
			frame: wire.Work{
				Demands: []wire.DemandBatch{
					{
						Service: number,
						Teams: []wire.TeamCount{
							{
								Team:  number,
								Count: 16,
							},
						},
					},
				},
			},
			alone: true,
		},
		{
			name: "grant",
			frame: wire.Work{
				Grants: []wire.GrantBatch{
					{
						ID:       number,
						Service:  number,
						Upstream: number,
						Teams: []wire.TeamCount{
							{
								Team:  number,
								Count: 1,
							},
						},
					},
				},
			},
			alone: true,
		},
		{
			name: "change",
			frame: wire.Node{
				Sync: &wire.Sync{
					Revision:  number,
					Resources: []resource.Resource{team},
				},
			},
			alone: true,
		},
	}
	for _, m := range list {
		data, err := link.Encode(m.frame)
		if err != nil {
			return err
		}
		size := len(data)
		if m.alone {
			size += overheadBytes
		}
		slope("wire", m.name, "bytes", float64(size))
		const rounds = 20_000
		started := time.Now()
		for range rounds {
			if _, err := link.Encode(m.frame); err != nil {
				return err
			}
		}
		slope("wire", m.name, "encode_us", float64(time.Since(started).Nanoseconds())/1000/rounds)
	}
	slope("wire", "heartbeat", "bytes", overheadBytes)
	return accountFrames()
}

// accountFrames prints the bytes of one team in a report and in its answer, on a
// link that has told the team before.
func accountFrames() error {
	const (
		teams    = 64
		distance = 31_000 / teams // between the numbers of two teams
		grown    = 1000           // units since the last report
		ahead    = 10_000_000     // thousandths of a unit before the clock
	)
	var packer wire.ReportPacker
	report := share.Report{
		Service: 1_000_000,
	}
	totals := share.Totals{
		Service:     report.Service,
		VirtualTime: 100_000_000_000,
	}
	for i := range teams {
		report.Entries = append(report.Entries, share.ReportEntry{
			Team:         share.TeamID(1_000_000 + i*distance),
			Epoch:        1000,
			LocalService: 100_000_000,
			Waiting:      true,
		})
		totals.Entries = append(totals.Entries, share.TotalEntry{
			Virtual:  totals.VirtualTime + ahead,
			Sidecars: 10,
		})
	}
	packer.Pack(report)
	for i := range report.Entries {
		report.Entries[i].LocalService += grown
	}
	for _, m := range []struct {
		name  string
		frame any
	}{
		{
			name:  "report_entry",
			frame: packer.Pack(report),
		},
		{
			name:  "total_entry",
			frame: wire.PackTotals(totals),
		},
	} {
		data, err := link.Encode(m.frame)
		if err != nil {
			return err
		}
		slope("wire", m.name, "bytes", float64(len(data))/teams)
	}
	return nil
}
