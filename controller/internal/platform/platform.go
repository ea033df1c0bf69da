// Package platform polls the platform's list of live and leaving hosts. Its entry point
// is Poll.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/jsonlist"
)

// Timings and limits of reading the list.
const (
	// PollInterval is the pause between two reads of the list.
	PollInterval = time.Second
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
	// maxListBytes is the largest size of a list; a larger one can't be decoded.
	maxListBytes = 4 << 20
)

// Host is one host of the list.
type Host struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Poll reads the list at the URL once per PollInterval until the context ends. After
// each read it calls update with the sorted names of the leaving hosts. If the list
// can't be read, update is not called, so that the last list remains.
func Poll(ctx context.Context, url string, update func(leaving []string)) {
	client := &http.Client{
		Timeout: pollTimeout,
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		if hosts, err := read(ctx, client, url); err == nil {
			update(leaving(hosts))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the list at the URL once.
func read(ctx context.Context, client *http.Client, url string) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, merry.Prepend(err, "create the request for the list of hosts")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, "request the list of hosts")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("the platform answered the request for the list of hosts with status %s, want 200", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, merry.Prepend(err, "read the list of hosts")
	}
	if string(bytes.TrimSpace(data)) == "null" {
		return nil, nil // an empty list, as some encoders write it
	}
	entries, _, err := jsonlist.Split(data, "")
	if err != nil {
		return nil, merry.Prepend(err, "decode the list of hosts")
	}
	var hosts []Host
	for _, raw := range entries {
		var h Host
		if json.Unmarshal(raw, &h) == nil && h.Name != "" {
			hosts = append(hosts, h) // malformed entries are those of other writers
		}
	}
	return hosts, nil
}

// leaving returns the sorted names of the leaving hosts.
func leaving(hosts []Host) []string {
	var out []string
	for _, h := range hosts {
		if h.State == "leaving" {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}
