package main

import (
	"time"

	"baobabpaddle/bench/internal/measure"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// overheadBytes is what a frame that is sent alone adds to its encoding: the length
// prefix, the TLS record, TCP with time stamps and IP.
const overheadBytes = 4 + 22 + 32 + 20

// measureMessages prints the size of each message on the wire and the time to encode it.
// Its numbers are large, as in a fleet that has run for long, since small integers have
// shorter encodings.
func measureMessages() error {
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
		alone bool // sent as a frame of its own, with its overhead
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
		printSlope("wire", m.name, "bytes", float64(size))
		const rounds = 20_000
		started := time.Now()
		for range rounds {
			if _, err := link.Encode(m.frame); err != nil {
				return err
			}
		}
		printSlope("wire", m.name, "encode_us", float64(time.Since(started).Nanoseconds())/1000/rounds)
	}
	printSlope("wire", "heartbeat", "bytes", overheadBytes)
	return measureReports()
}

// measureReports prints the bytes of one team in a sidecar's report of service and in the
// controller's answer with the totals. The link has sent the team before, so the report
// holds only differences.
func measureReports() error {
	const (
		teams    = 64
		distance = 31_000 / teams // between the numbers of two teams
		grown    = 1000           // units of service since the last report
		lead     = 10_000_000     // of a team over the service's virtual time, in thousandths of a unit
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
			Virtual:  totals.VirtualTime + lead,
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
		printSlope("wire", m.name, "bytes", float64(len(data))/teams)
	}
	return nil
}
