package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"baobabpaddle/fleet/internal/golden"
)

// TestCheck compares the errors for valid and invalid resources with a golden file.
func TestCheck(t *testing.T) {
	const upstream = `{"service":"s","host":"h","zone":"z","sidecar":"127.0.0.1:1","url":"http://127.0.0.1:2","max_running":4`
	var out strings.Builder
	for _, r := range []struct {
		kind Kind
		name string
		spec string
	}{
		{KindTeam, "clubs", `{"weight":4,"key_hashes":[]}`},
		{KindTeam, "Clubs", `{"key_hashes":[]}`},
		{KindTeam, "clubs", `{"weight":-1,"key_hashes":[]}`},
		{KindTeam, "clubs", `{"key_hashes":["abc"]}`},
		{KindTeam, "clubs", `{"colour":1}`},
		{KindTeam, "clubs", `{} {}`},
		{KindService, "s", `{"type":"model","models":["m"]}`},
		{KindService, "s", `{"type":"model"}`},
		{KindService, "s", `{"type":"plain","models":["m"]}`},
		{KindService, "s", `{"type":"plain","idempotent_routes":[{"method":"POST","path":"x"}]}`},
		{KindUpstream, "u", upstream + `}`},
		{KindUpstream, "u", strings.Replace(upstream, "127.0.0.1:1", "host:1", 1) + `}`},
		{KindUpstream, "u", strings.Replace(upstream, "127.0.0.1:2", "name:2", 1) + `}`},
		{KindUpstream, "u", upstream + `,"state":"gone"}`},
		{KindPlacement, "p", `{"upstream":"u","model":"m","model_version":"1","role":"serve"}`},
		{KindPlacement, "p", `{"upstream":"u","model":"m","model_version":"1","role":"king"}`},
		{"thing", "x", `{}`},
	} {
		checked := Resource{
			Kind: r.kind,
			Name: r.name,
			Spec: json.RawMessage(r.spec),
		}
		fmt.Fprintf(&out, "%s %s %s\n  %v\n", r.kind, r.name, r.spec, checked.Check())
	}
	golden.Check(t, "check", out.String())
}

// FuzzDecode checks that every error of Check wraps ErrInvalid.
func FuzzDecode(f *testing.F) {
	f.Add("team", []byte(`{"weight":1,"key_hashes":[]}`))
	f.Add("service", []byte(`{"type":"plain"}`))
	f.Add("upstream", []byte(`{"url":"http://[::1]:1"}`))
	f.Fuzz(func(t *testing.T, kind string, spec []byte) {
		r := Resource{
			Kind: Kind(kind),
			Name: "x",
			Spec: spec,
		}
		if err := r.Check(); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("the error does not wrap ErrInvalid: %v", err)
		}
	})
}
