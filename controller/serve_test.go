package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
)

// TestGatewaysMayOnlyRecordStreams guards against gateways that have commands executed which only
// controllers forward.
func TestGatewaysMayOnlyRecordStreams(t *testing.T) {
	is := is.New(t)
	load := func(role credential.Role) *credential.Credential {
		c, err := credential.Load(credential.Settings{
			PrivateNetwork: true,
		}, credential.Peer{
			Role: role,
		})
		is.NoErr(err)
		return c
	}
	controller := load(credential.Controller)
	p := newServeProcess(ServeSettings{
		Name:           "c",
		Address:        "127.0.0.1",
		Port:           1,
		OperatorListen: "127.0.0.1:1",
	}, controller, slog.New(slog.DiscardHandler))
	server := httptest.NewServer(p.handler(context.Background(), controller, p.dialer(controller)))
	defer server.Close()
	for _, c := range []struct {
		role   credential.Role
		method string
		status int
	}{
		{
			role:   credential.Gateway,
			method: "RecordStreams",
			status: http.StatusBadRequest, // it holds no streams
		},
		{
			role:   credential.Gateway,
			method: "Execute",
			status: http.StatusForbidden,
		},
		{
			role:   credential.Sidecar,
			method: "RecordStreams",
			status: http.StatusForbidden,
		},
	} {
		request, err := http.NewRequest(http.MethodPost, server.URL+rpc.ControllerPathPrefix+c.method, http.NoBody)
		is.NoErr(err)
		request.Header.Set("Content-Type", "application/protobuf")
		load(c.role).SetAuthHeaders(request)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, c.status)
	}
}
