package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/problem"
)

type statusCommand struct {
	controllerFlags
}

// status is the part of a controller's status that the tool uses.
type status struct {
	ReplicaID       uint64 `json:"replica_id"`
	Role            string `json:"role"`
	Term            uint64 `json:"term"`
	Commit          uint64 `json:"commit"`
	Revision        uint64 `json:"revision"`
	LeaderAddress   string `json:"leader_address"`
	Current         bool   `json:"current"`
	Nodes           int    `json:"nodes"`
	BackloggedTeams int    `json:"backlogged_teams"`
	Teams           int    `json:"teams"`
	Claims          int    `json:"claims"`
}

// Run prints one line for each controller, and fails if none can be reached.
func (c *statusCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reached := 0
	for _, address := range client.controllers {
		data, err := client.callAddress(context.Background(), address, request{
			method: http.MethodGet,
			path:   "/v1/status",
		})
		if err != nil {
			fmt.Printf("%s: not reached: %v\n", address, err)
			continue
		}
		var s status
		if err := json.Unmarshal(data, &s); err != nil {
			return merry.Prepend(err, "decode a controller's status")
		}
		reached++
		fmt.Printf("%s: replica %d %s term %d commit %d revision %d current %t leader %s nodes %d teams %d backlogged %d claims %d\n",
			address, s.ReplicaID, s.Role, s.Term, s.Commit, s.Revision, s.Current, s.LeaderAddress, s.Nodes, s.Teams,
			s.BackloggedTeams, s.Claims)
	}
	if reached == 0 {
		return merry.New("no controller was reached")
	}
	return nil
}

type claimCommand struct {
	controllerFlags
	Key string `arg:"" help:"team:service:idempotency-key"`
}

// Run prints the claim of a non-idempotent request as JSON.
func (c *claimCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return printJSON(client, "/v1/claims/"+url.PathEscape(c.Key))
}

type memberCommand struct {
	Add    memberAddCommand    `cmd:"" help:"Add a controller that was prepared with 'controller init --join'."`
	Remove memberRemoveCommand `cmd:"" help:"Remove a controller for good."`
}

type memberAddCommand struct {
	controllerFlags
	ID      uint64 `arg:"" help:"The new replica's identifier, never used before."`
	Address string `arg:"" help:"Its IP address and port."`
}

// Run adds a controller to the membership.
func (c *memberAddCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return changeMembers(client, request{
		method: http.MethodPost,
		path:   "/v1/members",
		body: struct {
			ID      uint64 `json:"id"`
			Address string `json:"address"`
		}{
			ID:      c.ID,
			Address: c.Address,
		},
	})
}

type memberRemoveCommand struct {
	controllerFlags
	ID uint64 `arg:"" help:"The replica's identifier."`
}

// Run removes a controller from the membership.
func (c *memberRemoveCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return changeMembers(client, request{
		method: http.MethodDelete,
		path:   fmt.Sprintf("/v1/members/%d", c.ID),
	})
}

// changeMembers sends a change of the membership to the controllers in turn until one
// accepts it. Only the leader does; others return status 421. The addresses that
// controllers report as the leader's are tried first.
func changeMembers(c *client, r request) error {
	var last error
	for _, address := range append(c.leaders(), c.controllers...) {
		_, err := c.callAddress(context.Background(), address, r)
		if err == nil {
			fmt.Println("accepted")
			return nil
		}
		last = err
		var p *problem.Problem
		if errors.As(err, &p) && p.Status != http.StatusMisdirectedRequest {
			return err
		}
	}
	return last
}

// leaders returns the addresses that controllers report as the leader's. They need not
// be in the settings, since the leader may have joined after these were written.
func (c *client) leaders() []string {
	var out []string
	for _, address := range c.controllers {
		data, err := c.callAddress(context.Background(), address, request{
			method: http.MethodGet,
			path:   "/v1/status",
		})
		var s status
		if err == nil && json.Unmarshal(data, &s) == nil && s.LeaderAddress != "" && !slices.Contains(out, s.LeaderAddress) {
			out = append(out, s.LeaderAddress)
		}
	}
	return out
}

type backupCommand struct {
	controllerFlags
	File string `arg:"" type:"path" help:"File to write; it must not exist."`
}

// Run writes a backup of the fleet's state to a new file and syncs the file to disk.
func (c *backupCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := client.do(context.Background(), request{
		method: http.MethodGet,
		path:   "/v1/backup",
	})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Prepend(err, "create the backup file")
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return merry.Prepend(err, "write the backup file")
	}
	if err := f.Sync(); err != nil {
		return merry.Prepend(err, "sync the backup file")
	}
	fmt.Printf("%d bytes\n", len(data))
	return nil
}
