package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

type evacuationCommand struct {
	List  evacuationListCommand  `cmd:"" help:"Show the availability zones whose upstreams get no requests."`
	Begin evacuationBeginCommand `cmd:"" help:"Send nothing new to the upstreams of an availability zone."`
	End   evacuationEndCommand   `cmd:"" help:"Use the upstreams of an availability zone again."`
}

type evacuationListCommand struct {
	controllerFlags
}

// Run prints the evacuated zones as JSON.
func (c *evacuationListCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return printJSON(client, pathEvacuations)
}

type evacuationBeginCommand struct {
	controllerFlags
	Zone string `arg:"" help:"The availability zone."`
}

// Run begins the evacuation of a zone.
func (c *evacuationBeginCommand) Run() error {
	return c.orderEvacuation(http.MethodPut, c.Zone, "evacuated")
}

type evacuationEndCommand struct {
	controllerFlags
	Zone string `arg:"" help:"The availability zone."`
}

// Run ends the evacuation of a zone.
func (c *evacuationEndCommand) Run() error {
	return c.orderEvacuation(http.MethodDelete, c.Zone, "in use")
}

const pathEvacuations = "/v1/evacuations"

// orderEvacuation sends an order about a zone and prints what holds from then on.
func (c *controllerFlags) orderEvacuation(method, zone, outcome string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := client.do(context.Background(), request{
		method: method,
		path:   pathEvacuations + "/" + url.PathEscape(zone),
	}); err != nil {
		return err
	}
	fmt.Println(zone, outcome)
	return nil
}
