package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/wire"
)

// maxAnswerBytes bounds how much of a sidecar's error answer is read.
const maxAnswerBytes = 4096

// SidecarClient sends orders to sidecars over HTTP. It implements Sender.
type SidecarClient struct {
	credential *credential.Credential
	http       *http.Client
}

// NewSidecarClient returns a client that authenticates with the controller's
// credential.
func NewSidecarClient(c *credential.Credential) *SidecarClient {
	return &SidecarClient{
		credential: c,
		http:       c.Client(),
	}
}

// Order implements Sender. Any answer but status 200 is an error.
func (s *SidecarClient) Order(ctx context.Context, sidecar string, order wire.Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return merry.Prepend(err, "encode an order for a sidecar")
	}
	url := s.credential.Scheme() + "://" + sidecar + wire.PathOrder
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return merry.Prepend(err, "create the request for an order")
	}
	response, err := s.http.Do(request)
	if err != nil {
		return merry.Prepend(err, "send an order to a sidecar")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return merry.Errorf("a sidecar answered an order with status %s: %s", response.Status, answer)
	}
	return nil
}
