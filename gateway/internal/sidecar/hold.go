package sidecar

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/wire"
)

// Timings of holding an attempt. A sidecar drops an attempt that no gateway reads for 10 s, so both
// leave time for a link that carries nothing for some seconds.
const (
	// holdAfter is the time that the caller takes for a frame after which the attempt is held.
	holdAfter      = 3 * time.Second
	holdRetryDelay = time.Second
)

// passOn passes a frame to the sink. If the caller takes long, the attempt is held meanwhile: its
// stream may break, which is noticed at the next read.
func (a *attempt) passOn(ctx context.Context, frame answer.Frame) error {
	ctx, release := context.WithCancel(ctx)
	defer release()
	defer time.AfterFunc(holdAfter, func() { a.hold(ctx) }).Stop()
	return a.handleFrame(frame)
}

// hold keeps the attempt at the sidecar until the context ends.
func (a *attempt) hold(ctx context.Context) {
	for ctx.Err() == nil {
		a.readHeartbeats(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(holdRetryDelay):
		}
	}
}

// readHeartbeats reads a further stream of the attempt, without data, until the answer or the context
// ends, the stream breaks or no byte passes for silenceTimeout.
func (a *attempt) readHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := newSilenceTimer(cancel)
	defer silence.stop()
	url := a.url(fmt.Sprintf("%s/%d/%d?offset=%d", wire.PathRun, a.run.Request, a.run.Attempt, uint64(math.MaxUint64)))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	a.runner.credential.SetAuthHeaders(request)
	response, err := a.runner.fresh.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, silence.reader(response.Body))
}
