package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/internal/golden"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/share"
)

// TestEncodings compares the encodings of frames with a golden file, because processes of
// two versions exchange frames while a fleet is upgraded.
func TestEncodings(t *testing.T) {
	var out strings.Builder
	for _, f := range []any{
		Work{
			Offer: &Offer{
				Incarnation: "i",
				Services: []OfferService{
					{
						Service:   1,
						Upstreams: []share.UpstreamID{2, 3},
					},
				},
			},
		},
		Work{
			Demands: []DemandBatch{
				{
					Service: 1,
					Teams: []TeamCount{
						{
							Team:  2,
							Count: 3,
						},
					},
				},
			},
			Weights: []Weight{
				{
					Team:    2,
					Weight:  1.5,
					Version: 4,
				},
			},
			Declines: []share.Decline{
				{
					ID:      5,
					Service: 1,
				},
			},
		},
		Work{
			Grants: []GrantBatch{
				{
					ID:       1,
					Service:  2,
					Upstream: 4,
					Teams: []TeamCount{
						{
							Team:  3,
							Count: 2,
						},
					},
				},
			},
			SpareCapacity: []share.SpareCapacity{
				{
					Service:   2,
					Available: true,
				},
			},
		},
		Account{
			Incarnation: "i",
			Reports: []PackedReport{
				{
					Service: 1,
					Entries: []int64{2, 4, 1},
					Epochs:  []int64{0, 3},
				},
			},
			Totals: []PackedTotals{
				{
					Service:     1,
					VirtualTime: 5,
					Entries:     []int64{6, 1},
				},
			},
		},
		Replica{
			Messages: []raft.Message{
				{
					Type: raft.MsgAppend,
					From: 1,
					To:   2,
					Term: 3,
				},
			},
		},
	} {
		data, err := link.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%T %s\n", f, hex.EncodeToString(data))
	}
	golden.Check(t, "encodings", out.String())
}

// TestWorkBatchesRoundTrip adds demands and grants to a frame and reads them back:
// consecutive ones must share a batch, and none may be changed.
func TestWorkBatchesRoundTrip(t *testing.T) {
	is := is.New(t)
	demands := []share.Demand{
		{
			Service: 1,
			Team:    1,
			Count:   3,
		},
		{
			Service: 1,
			Team:    2,
		},
		{
			Service: 2,
			Team:    1,
			Count:   1,
		},
	}
	grants := []share.Grant{
		{
			ID:         1,
			Service:    1,
			Upstream:   1,
			Team:       1,
			ExtraSlots: 2,
		},
		{
			ID:       4,
			Service:  1,
			Upstream: 1,
			Team:     2,
		},
		{
			ID:       5,
			Service:  1,
			Upstream: 1,
			Team:     2,
			Prefetch: true,
		},
		{
			ID:       7, // 6 went to another gateway
			Service:  1,
			Upstream: 1,
			Team:     3,
		},
		{
			ID:         8,
			Service:    1,
			Upstream:   2,
			Team:       3,
			ExtraSlots: 1,
		},
	}
	var frame Work
	for _, d := range demands {
		frame.AddDemand(d)
	}
	for _, g := range grants {
		frame.AddGrant(g)
	}
	is.Equal(len(frame.Demands), 2)
	is.Equal(len(frame.Grants), 4)
	var gotDemands []share.Demand
	frame.AllDemands(func(d share.Demand) { gotDemands = append(gotDemands, d) })
	is.Equal(gotDemands, demands)
	var gotGrants []share.Grant
	frame.AllGrants(func(g share.Grant) { gotGrants = append(gotGrants, g) })
	is.Equal(gotGrants, grants)
}

// FuzzReadRun decodes arbitrary bytes: after a valid run request the reader must be at
// the body.
func FuzzReadRun(f *testing.F) {
	data, err := EncodeRun(&RunRequest{
		Request: 1,
		Method:  "GET",
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(data, "body"...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		if _, err := ReadRun(reader); err != nil {
			return
		}
		if rest, err := io.ReadAll(reader); err != nil || !bytes.HasSuffix(data, rest) {
			t.Fatal("the remaining bytes are not the end of the input")
		}
	})
}
