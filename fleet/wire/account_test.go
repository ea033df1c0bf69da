package wire

import (
	"errors"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
)

// TestPackedReportsRoundTrip packs and unpacks random reports of one link, and the totals
// that answer them.
func TestPackedReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var packer ReportPacker
		var unpacker ReportUnpacker
		for range rapid.IntRange(1, 8).Draw(t, "reports") {
			report := drawReport(t)
			got, err := unpacker.Unpack(packer.Pack(report))
			if err != nil || got.Service != report.Service || !slices.Equal(got.Entries, report.Entries) {
				t.Fatalf("report %+v was unpacked as %+v, error %v", report, got, err)
			}
			totals := share.Totals{
				Service:     report.Service,
				VirtualTime: rapid.Int64Range(0, 1<<40).Draw(t, "virtual time"),
			}
			for _, e := range report.Entries {
				if e.Waiting {
					totals.Entries = append(totals.Entries, share.TotalEntry{
						Team:         e.Team,
						Virtual:      rapid.Int64Range(0, 1<<40).Draw(t, "virtual"),
						Epoch:        e.Epoch,
						LocalService: e.LocalService,
						Sidecars:     rapid.IntRange(0, 300).Draw(t, "sidecars"),
					})
				}
			}
			unpacked, err := PackTotals(totals).Unpack(report)
			if err != nil || unpacked.VirtualTime != totals.VirtualTime || !slices.Equal(unpacked.Entries, totals.Entries) {
				t.Fatalf("totals %+v were unpacked as %+v, error %v", totals, unpacked, err)
			}
		}
	})
}

// drawReport returns a random report over few teams and epochs, so that reports overlap.
func drawReport(t *rapid.T) share.Report {
	out := share.Report{
		Service: share.ServiceID(rapid.IntRange(1, 2).Draw(t, "service")),
	}
	for team := range share.TeamID(6) {
		if !rapid.Bool().Draw(t, "included") {
			continue
		}
		e := share.ReportEntry{
			Team:         team + 1,
			Epoch:        rapid.Uint32Range(1, 2).Draw(t, "epoch"),
			LocalService: rapid.Int64Range(-1000, 1<<40).Draw(t, "local service"),
			Waiting:      rapid.Bool().Draw(t, "waiting"),
			Intermittent: rapid.Bool().Draw(t, "intermittent"),
		}
		if rapid.Bool().Draw(t, "has known totals") {
			e.KnownVirtual = rapid.Int64Range(1, 1<<40).Draw(t, "known virtual")
			e.KnownLocal = rapid.Int64Range(0, 1<<40).Draw(t, "known local")
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

// TestUnpackRejectsMalformedNumbers checks that reports and totals with invalid lengths,
// indexes or epochs return ErrBadPacking.
func TestUnpackRejectsMalformedNumbers(t *testing.T) {
	for _, test := range []struct {
		name   string
		report PackedReport
	}{
		{
			name: "an incomplete entry",
			report: PackedReport{
				Entries: []int64{1, 2},
			},
		},
		{
			name: "an epoch that was never sent",
			report: PackedReport{
				Entries: []int64{1, 2, 1},
			},
		},
		{
			name: "an epoch with an index beyond the entries",
			report: PackedReport{
				Entries: []int64{1, 2, 1},
				Epochs:  []int64{1, 1},
			},
		},
		{
			name: "a negative epoch",
			report: PackedReport{
				Entries: []int64{1, 2, 1},
				Epochs:  []int64{0, -1},
			},
		},
		{
			name: "known with a negative index",
			report: PackedReport{
				Entries: []int64{1, 2, 1},
				Epochs:  []int64{0, 1},
				Known:   []int64{-1, 1, 1},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var u ReportUnpacker
			_, err := u.Unpack(test.report)
			is.New(t).True(errors.Is(err, ErrBadPacking))
		})
	}
	report := share.Report{
		Service: 1,
		Entries: []share.ReportEntry{
			{
				Team:    1,
				Waiting: true,
			},
		},
	}
	for _, entries := range [][]int64{nil, {1}, {1, 1, 1}} {
		_, err := PackedTotals{
			Service: 1,
			Entries: entries,
		}.Unpack(report)
		is.New(t).True(errors.Is(err, ErrBadPacking))
	}
}

// FuzzAccount decodes arbitrary bytes as a frame: its reports and totals must be unpacked
// or rejected, and totals must have as many entries as were sent.
func FuzzAccount(f *testing.F) {
	var packer ReportPacker
	data, err := link.Encode(Account{
		Reports: []PackedReport{
			packer.Pack(share.Report{
				Service: 1,
				Entries: []share.ReportEntry{
					{
						Team:         2,
						Epoch:        1,
						LocalService: 3,
						Waiting:      true,
						KnownVirtual: 4,
					},
				},
			}),
		},
		Totals: []PackedTotals{
			{
				Service: 1,
				Entries: []int64{5, 1},
			},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame Account
		if cbor.Unmarshal(data, &frame) != nil {
			return
		}
		var unpacker ReportUnpacker
		for _, packed := range frame.Reports {
			report, err := unpacker.Unpack(packed)
			if err != nil {
				continue
			}
			for _, totals := range frame.Totals {
				got, err := totals.Unpack(report)
				if err == nil && len(got.Entries)*totalNumbers != len(totals.Entries) {
					t.Fatal("unpacked more or fewer totals than the frame has")
				}
			}
		}
	})
}
