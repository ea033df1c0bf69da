package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
)

type keysCommand struct {
	Init  keysInitCommand  `cmd:"" help:"Make the fleet's own certificate authority."`
	Issue keysIssueCommand `cmd:"" help:"Issue a certificate for a process or an operator."`
	Team  keysTeamCommand  `cmd:"" help:"Make a bearer key for a team; only its hash goes into the resource."`
}

type keysInitCommand struct {
	Folder string `arg:"" type:"path" help:"Folder for the authority; keep it off the fleet's hosts."`
}

// Run creates the fleet's certificate authority in the folder.
func (c *keysInitCommand) Run() error {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return merry.Prepend(err, "create the folder for the authority")
	}
	_, err := credential.CreateAuthority(c.Folder, time.Now())
	return err
}

type keysIssueCommand struct {
	Folder  string   `arg:"" type:"path" help:"The authority's folder."`
	Role    string   `arg:"" enum:"gateway,sidecar,controller,operator" help:"gateway, sidecar, controller or operator."`
	Name    string   `arg:"" help:"The name, one of its own."`
	Address []string `help:"IP addresses that the process listens on."`
}

// Run issues a certificate and its private key, signed by the authority in the folder.
func (c *keysIssueCommand) Run() error {
	authority, err := credential.OpenAuthority(c.Folder)
	if err != nil {
		return err
	}
	var addresses []net.IP
	for _, a := range c.Address {
		ip := net.ParseIP(a)
		if ip == nil {
			return merry.Errorf("address: %q is no IP address", a)
		}
		addresses = append(addresses, ip)
	}
	return authority.Issue(credential.Peer{
		Role: credential.Role(c.Role),
		Name: c.Name,
	}, addresses, time.Now())
}

type keysTeamCommand struct{}

// Run prints a new random bearer key and its SHA-256 hash in hexadecimal.
func (c *keysTeamCommand) Run() error {
	key := "bp-" + rand.Text()
	hash := sha256.Sum256([]byte(key))
	_, err := fmt.Printf("key %s\nhash %s\n", key, hex.EncodeToString(hash[:]))
	return err
}
