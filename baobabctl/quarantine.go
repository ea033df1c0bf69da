package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

type quarantineCommand struct {
	List    quarantineListCommand    `cmd:"" help:"Show the prompt segments whose requests are refused, and the requests that are."`
	Release quarantineReleaseCommand `cmd:"" help:"Let a request, or requests with a prompt segment, be sent to upstreams again."`
}

type quarantineListCommand struct {
	controllerFlags
}

// Run prints the recorded segments and requests as JSON.
func (c *quarantineListCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return printJSON(client, "/v1/quarantine")
}

type quarantineReleaseCommand struct {
	controllerFlags
	ID string `arg:"" help:"The segment's identifier or the request's digest, in hexadecimal as in logs."`
}

// Run releases a segment or a request.
func (c *quarantineReleaseCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := client.do(context.Background(), request{
		method: http.MethodDelete,
		path:   "/v1/quarantine/" + url.PathEscape(c.ID),
	}); err != nil {
		return err
	}
	fmt.Println("released")
	return nil
}
