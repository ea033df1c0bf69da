package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/wire"
)

// noDirectory is a Directory that knows no controllers.
type noDirectory struct{}

func (noDirectory) Addresses() []string { return nil }

// linkDialer returns the dialer of a process.
func linkDialer(t *testing.T, role credential.Role) link.Dialer {
	t.Helper()
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: role,
	})
	is.New(t).NoErr(err)
	return link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
	}
}

// TestLinkBringsListWithOtherVersions guards against a gateway that links again after a release in
// place and is not sent the list, since the sums of hashes of the versions in both are equal.
func TestLinkBringsListWithOtherVersions(t *testing.T) {
	h, _ := newReleaseHub(t)
	h.directory = noDirectory{}
	former := wire.UpstreamsDigest(h.upstreams)
	h.list("v2", "v2")
	h.record()
	list := h.upstreams
	is.New(t).Equal(len(list), 2)
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	server := httptest.NewServer(h.Handler(ctx, linkDialer(t, credential.Controller)))
	defer server.Close()
	go h.Run(ctx)
	for name, c := range map[string]struct {
		digest uint64
		sent   bool
	}{
		"the same list":            {wire.UpstreamsDigest(list), false},
		"the list of before":       {former, true},
		"a gateway without digest": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := link.Dial[wire.Serve](ctx, linkDialer(t, credential.Gateway), strings.TrimPrefix(server.URL, "http://"), wire.PathServe)
			is.NoErr(err)
			defer l.Close()
			is.NoErr(l.Send(wire.Serve{
				Hello: &wire.ServeHello{
					Name:            name,
					UpstreamsHash:   wire.UpstreamsHash(list),
					VersionsHash:    wire.VersionsHash(list),
					UpstreamsDigest: c.digest,
				},
			}))
			first, err := l.Receive()
			is.NoErr(err)
			is.True(first.Welcome != nil && first.Welcome.IsLeader)
			is.Equal(first.Upstreams != nil, c.sent)
			if c.sent {
				got, same := first.Upstreams.Apply(nil)
				is.True(same)
				is.Equal(got, list)
			}
		})
	}
}
