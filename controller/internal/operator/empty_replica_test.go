package operator

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/membership"
)

// emptyReplicas has a replica on a new disk that has not joined the group.
type emptyReplicas struct {
	replica *replica.Replica
}

func (e emptyReplicas) Replica() *replica.Replica { return e.replica }
func (emptyReplicas) LeaderAddress() string       { return "" }

// leaderDirectory knows a leader and its address for operators.
type leaderDirectory struct {
	fakeDirectory
}

func (leaderDirectory) Group() membership.Group {
	return membership.Group{
		Leader: "10.0.0.2:7400",
	}
}

func (leaderDirectory) OperatorAddress(address string) string {
	return strings.Replace(address, ":7400", ":7401", 1)
}

// TestEmptyReplicaRedirects guards against operators that are refused by a controller with
// a new disk although another controller serves them.
func TestEmptyReplicaRedirects(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: 7,
		DiskID:    "new",
	}))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	defer store.Close()
	log := slog.New(slog.DiscardHandler)
	empty, err := replica.New(replica.Settings{}, store, restored, link.Dialer{}, nil, log)
	is.NoErr(err)
	api := NewConfigurationAPI(emptyReplicas{
		replica: empty,
	}, fakeExecutor{}, leaderDirectory{}, 1, log)
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		w := httptest.NewRecorder()
		api.Handler().ServeHTTP(w, httptest.NewRequest(method, "/v1/configuration", strings.NewReader(`{"version":1}`)))
		is.Equal(w.Code, http.StatusTemporaryRedirect)
		is.Equal(w.Header().Get("Location"), "http://10.0.0.2:7401/v1/configuration")
	}
}
