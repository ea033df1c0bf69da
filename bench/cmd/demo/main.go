// Program demo starts a fleet with TLS on loopback, applies the resources of an example
// file, books a slot and streams an answer as a caller, and stops the fleet.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/settings"
)

// demoTimeout limits the whole demo.
const demoTimeout = 50 * time.Second

type commandLine struct {
	Bin     string `required:"" type:"path" help:"Folder with the programs."`
	Example string `required:"" type:"path" help:"File with resources."`
	Team    string `required:"" help:"Team to call as."`
	Model   string `required:"" help:"Model to stream from."`
	Service string `required:"" help:"Service to book at."`
}

// Run starts the fleet, sends the calls and stops the fleet.
func (c *commandLine) Run() error {
	folder, err := os.MkdirTemp("", "baobabpaddle-demo-")
	if err != nil {
		return merry.Prepend(err, "create temporary folder")
	}
	// A leftover lies in the system's temporary folder, so a failure is ignored.
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	data, err := os.ReadFile(c.Example)
	if err != nil {
		return merry.Prepend(err, "read --example")
	}
	var example struct {
		Resources []resource.Resource `json:"resources"`
	}
	if err := settings.Decode(data, &example); err != nil {
		return merry.Prepend(err, c.Example)
	}
	fleet, err := local.Start(ctx, local.Plan{
		Bin:             c.Bin,
		Folder:          folder,
		Controllers:     3,
		Gateways:        2,
		Resources:       example.Resources,
		TokensPerSecond: 30,
		Balance:         0.5,
		TLS:             true,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	fmt.Printf("demo: %d controllers, %d gateways, %d sidecars run with TLS\n",
		len(fleet.Controllers), len(fleet.Gateways), len(fleet.Sidecars))
	if err := c.book(ctx, fleet); err != nil {
		return err
	}
	if err := c.stream(ctx, fleet); err != nil {
		return err
	}
	fmt.Println("demo: ok")
	return nil
}

// call posts a request to a gateway with the team's key. The header lists names and
// values in turn.
func (c *commandLine) call(ctx context.Context, gateway, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, merry.Prepend(err, "create a request to a gateway")
	}
	request.Header.Set("Authorization", "Bearer demo-key-"+c.Team)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	return response, merry.Prepend(err, "send a request to a gateway")
}

// callUntilAvailable repeats a call while the gateway answers 503, which it does until it
// has learned of the upstreams, or until the context ends.
func (c *commandLine) callUntilAvailable(ctx context.Context, gateway, path, body string, header ...string) (*http.Response, error) {
	for {
		response, err := c.call(ctx, gateway, path, body, header...)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			return response, err
		}
		response.Body.Close()
		time.Sleep(100 * time.Millisecond)
	}
}

// book sends a booking to each gateway with the same idempotency key. The first gateway
// books the slot; the second replays the stored answer.
func (c *commandLine) book(ctx context.Context, fleet *local.Fleet) error {
	body := `{"day":"monday","slot":"09:00"}`
	for i, gateway := range fleet.Addresses.Gateways {
		response, err := c.callUntilAvailable(ctx, gateway, "/"+c.Service+"/bookings", body, "Idempotency-Key", "demo-booking-1")
		if err != nil {
			return err
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusCreated {
			return merry.Errorf("booking: %s: %s", response.Status, answer)
		}
		fmt.Printf("demo: booking sent to gateway %d: %s %s\n", i+1, response.Status, bytes.TrimSpace(answer))
	}
	return nil
}

// stream requests a streamed answer and prints its text when it is complete.
func (c *commandLine) stream(ctx context.Context, fleet *local.Fleet) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":12,"messages":[{"role":"user","content":"token"}]}`, c.Model)
	response, err := c.callUntilAvailable(ctx, fleet.Addresses.Gateways[1], "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return merry.Errorf("stream: %s: %v", response.Status, err)
	}
	fmt.Print("demo: streamed: ")
	for line := range strings.SplitSeq(string(data), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if !ok || json.Unmarshal([]byte(payload), &event) != nil || len(event.Choices) == 0 {
			continue
		}
		fmt.Print(event.Choices[0].Delta.Content)
	}
	fmt.Println()
	if !strings.Contains(string(data), "[DONE]") {
		return merry.New("stream: the answer ended without [DONE]")
	}
	return nil
}

func main() {
	program.Run("demo", "Runs a fleet on loopback and calls it.", &commandLine{})
}
