package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/settings"
)

// Limits of calls to controllers: callTimeout is for one call to one controller,
// retryTimeout for all attempts of client.do together.
const (
	callTimeout      = 12 * time.Second
	retryTimeout     = 30 * time.Second
	retryInterval    = 200 * time.Millisecond
	maxResponseBytes = 256 << 20

	headerRequestID = "Request-Id"
)

// controllerFlags are the flags of commands that call controllers. Embedding it keeps
// the flags at the level of the command.
type controllerFlags struct {
	Settings string `required:"" type:"path" env:"BAOBABCTL_SETTINGS" help:"Settings file, JSON with comments."`
}

// client calls the controllers in the order of the settings.
type client struct {
	controllers []string
	credential  *credential.Credential
	http        *http.Client
}

// client reads the settings file and returns a client for its controllers.
func (c *controllerFlags) client() (*client, error) {
	var s Settings
	if _, err := settings.Load(c.Settings, &s); err != nil {
		return nil, err
	}
	cred, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Operator,
		Name: "operator",
	})
	if err != nil {
		return nil, err
	}
	return &client{
		controllers: s.Controllers,
		credential:  cred,
		http:        cred.Client(),
	}, nil
}

// request is a call to a controller.
type request struct {
	method string
	path   string
	// body is encoded as JSON; nil means no body.
	body any
	// id makes a change of a resource idempotent: controllers apply it once, however
	// often it is sent. It is empty for all other requests.
	id string
}

// callAddress calls one controller and returns the body of its response. Unless the
// status is 2xx, the error is the *problem.Problem in the body, if it has one.
func (c *client) callAddress(ctx context.Context, address string, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if r.body != nil {
		data, err := json.Marshal(r.body)
		if err != nil {
			return nil, merry.Prepend(err, "encode the body of a request")
		}
		body = bytes.NewReader(data)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.credential.Scheme()+"://"+address+r.path, body)
	if err != nil {
		return nil, merry.Prepend(err, "create a request to a controller")
	}
	if r.id != "" {
		httpRequest.Header.Set(headerRequestID, r.id)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, merry.Prepend(err, "send a request to a controller")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, merry.Prepend(err, "read a controller's response")
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	var p problem.Problem
	if json.Unmarshal(data, &p) != nil || p.Code == "" {
		return nil, merry.Errorf("controller %s answered with status %s and no problem code", address, response.Status)
	}
	return nil, &p
}

// isFinal reports whether the error is the answer of the fleet, which every controller
// would give. Server errors, errors of the connection and status 421, which a
// controller returns if it is not the leader, are not.
func isFinal(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError && p.Status != http.StatusMisdirectedRequest
}

// do calls the controllers in turn until one succeeds or returns a final error. It gives
// up when retryTimeout has passed.
func (c *client) do(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var last error
	for {
		for _, address := range c.controllers {
			data, err := c.callAddress(ctx, address, r)
			if err == nil || isFinal(err) {
				return data, err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return nil, merry.Prepend(last, "no controller carried out the request")
		case <-time.After(retryInterval):
		}
	}
}
