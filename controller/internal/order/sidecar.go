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

const maxAnswerBytes = 4096

// SidecarClient passes orders to sidecars.
type SidecarClient struct {
	credential *credential.Credential
	http       *http.Client
}

// NewSidecarClient returns a sender with the controller's credential.
func NewSidecarClient(c *credential.Credential) *SidecarClient {
	return &SidecarClient{
		credential: c,
		http:       c.Client(),
	}
}

// Order implements Sender.
func (s *SidecarClient) Order(ctx context.Context, sidecar string, order wire.Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return merry.Prepend(err, "encode an order")
	}
	url := s.credential.Scheme() + "://" + sidecar + wire.PathOrder
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return merry.Prepend(err, "order")
	}
	response, err := s.http.Do(request)
	if err != nil {
		return merry.Prepend(err, "order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return merry.Errorf("order: %s: %s", response.Status, answer)
	}
	return nil
}
