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

const (
	callTimeout  = 12 * time.Second
	tryFor       = 30 * time.Second
	tryPause     = 200 * time.Millisecond
	maxAnswer    = 256 << 20
	requestIDKey = "Request-Id"
)

// connection is the flag that every command with a controller has.
type connection struct {
	Settings string `required:"" type:"path" env:"BAOBABCTL_SETTINGS" help:"Settings file, JSON with comments."`
}

// client asks the controllers in turn.
type client struct {
	controllers []string
	credential  *credential.Credential
	http        *http.Client
}

func (c *connection) client() (*client, error) {
	var s Settings
	if _, err := settings.Load(c.Settings, &s); err != nil {
		return nil, err
	}
	proof, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Operator,
		Name: "operator",
	})
	if err != nil {
		return nil, err
	}
	return &client{
		controllers: s.Controllers,
		credential:  proof,
		http:        proof.Client(),
	}, nil
}

// request is one call to a controller.
type request struct {
	method string
	path   string
	body   any
	// id makes a change that may be sent again.
	id string
}

// at asks one controller and returns the answer's body.
func (c *client) at(ctx context.Context, address string, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if r.body != nil {
		data, err := json.Marshal(r.body)
		if err != nil {
			return nil, merry.Prepend(err, "encode")
		}
		body = bytes.NewReader(data)
	}
	call, err := http.NewRequestWithContext(ctx, r.method, c.credential.Scheme()+"://"+address+r.path, body)
	if err != nil {
		return nil, merry.Prepend(err, "call")
	}
	if r.id != "" {
		call.Header.Set(requestIDKey, r.id)
	}
	response, err := c.http.Do(call)
	if err != nil {
		return nil, merry.Prepend(err, "call")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, merry.Prepend(err, "call")
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	var p problem.Problem
	if json.Unmarshal(data, &p) != nil || p.Code == "" {
		return nil, merry.Errorf("%s: %s", address, response.Status)
	}
	return nil, &p
}

// isFinal reports whether another controller would answer the same.
func isFinal(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError && p.Status != http.StatusMisdirectedRequest
}

// do asks the controllers in turn until one answers for good.
func (c *client) do(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	var last error
	for {
		for _, address := range c.controllers {
			data, err := c.at(ctx, address, r)
			if err == nil || isFinal(err) {
				return data, err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return nil, merry.Prepend(last, "no controller could do it")
		case <-time.After(tryPause):
		}
	}
}
