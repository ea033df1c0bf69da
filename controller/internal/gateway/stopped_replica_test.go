package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// TestCallsEndWithTheReplica guards against calls that wait for a replica which has stopped
// in a process that lives on: proposals, reads and changes of members, those that were
// waiting when it stopped and later ones.
func TestCallsEndWithTheReplica(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	stopped := h.replicas.Replica()
	calls := []func() error{
		func() error {
			_, err := stopped.Propose(t.Context(), state.Command{
				Replace: &state.Configuration{
					Version:  1,
					Document: []byte("{}"),
				},
			})
			return err
		},
		func() error { return stopped.Barrier(t.Context()) },
		func() error {
			return stopped.ChangeMembers(t.Context(), func(m raft.Members) (raft.Members, error) { return m, nil })
		},
	}
	ended := make(chan struct{})
	var callers sync.WaitGroup
	for _, call := range calls {
		for range 8 {
			callers.Go(func() {
				for running := true; running; {
					running = call() == nil
				}
			})
		}
	}
	h.replaceReplica()
	go func() {
		callers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(frameTime):
		t.Fatal("a call to a replica that has stopped waits")
	}
	for _, call := range calls {
		started := time.Now()
		is.True(call() != nil)
		is.True(time.Since(started) < time.Second)
	}
}
