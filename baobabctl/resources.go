package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/settings"
)

// resourceFile is the content of the file that apply reads.
type resourceFile struct {
	Resources []struct {
		Kind resource.Kind   `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	} `json:"resources"`
}

// putBody is the body of a request that creates or changes a resource. Version is the
// version that the change replaces; the controllers reject it if another one is present.
type putBody struct {
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// resourcePath returns the path of a resource at a controller.
func resourcePath(kind resource.Kind, name string) string {
	return "/v1/resources/" + string(kind) + "/" + name
}

type applyCommand struct {
	controllerFlags
	File string `short:"f" required:"" type:"path" help:"File with resources, JSON with comments."`
}

// Run validates the whole file, so that a mistake in it changes nothing, and then applies
// its resources in order.
func (c *applyCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "read the file with resources")
	}
	var f resourceFile
	if err := settings.Decode(data, &f); err != nil {
		return merry.Prepend(err, c.File)
	}
	for _, r := range f.Resources {
		checked := resource.Resource{
			Kind: r.Kind,
			Name: r.Name,
			Spec: r.Spec,
		}
		if err := checked.Check(); err != nil {
			return merry.Prepend(err, c.File)
		}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	for _, r := range f.Resources {
		outcome, err := apply(client, r.Kind, r.Name, r.Spec)
		if err != nil {
			return merry.Prependf(err, "%s %s", r.Kind, r.Name)
		}
		fmt.Printf("%s %s: %s\n", r.Kind, r.Name, outcome)
	}
	return nil
}

// apply creates a resource or replaces the version that is present now, and returns what
// it did: "unchanged", or "version" and the number of the new version.
func apply(c *client, kind resource.Kind, name string, spec json.RawMessage) (string, error) {
	ctx := context.Background()
	present, err := get(ctx, c, kind, name)
	if err != nil {
		return "", err
	}
	if present.Version > 0 && sameJSON(present.Spec, spec) {
		return "unchanged", nil
	}
	data, err := c.do(ctx, request{
		method: http.MethodPut,
		path:   resourcePath(kind, name),
		id:     rand.Text(),
		body: putBody{
			Version: present.Version,
			Spec:    spec,
		},
	})
	if err != nil {
		return "", err
	}
	var changed resource.Resource
	if err := json.Unmarshal(data, &changed); err != nil {
		return "", merry.Prepend(err, "decode the changed resource")
	}
	return fmt.Sprintf("version %d", changed.Version), nil
}

// get returns a resource. The version of one that does not exist is zero.
func get(ctx context.Context, c *client, kind resource.Kind, name string) (resource.Resource, error) {
	data, err := c.do(ctx, request{
		method: http.MethodGet,
		path:   resourcePath(kind, name),
	})
	var p *problem.Problem
	if errors.As(err, &p) && p.Code == problem.NotFound {
		return resource.Resource{}, nil
	}
	if err != nil {
		return resource.Resource{}, err
	}
	var r resource.Resource
	return r, merry.Prepend(json.Unmarshal(data, &r), "decode a resource")
}

// sameJSON reports whether two JSON texts are equal but for white space and the order of
// keys.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	first, err := json.Marshal(x)
	second, err2 := json.Marshal(y)
	return err == nil && err2 == nil && bytes.Equal(first, second)
}

type getCommand struct {
	controllerFlags
	Kind resource.Kind `arg:"" help:"team, service, upstream or placement."`
	Name string        `arg:"" optional:"" help:"One resource's name."`
}

// Run prints one resource, or all of a kind, as JSON.
func (c *getCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	path := "/v1/resources/" + string(c.Kind)
	if c.Name != "" {
		path = resourcePath(c.Kind, c.Name)
	}
	return printJSON(client, path)
}

// printJSON prints the controllers' response to a GET of the path, indented.
func printJSON(c *client, path string) error {
	data, err := c.do(context.Background(), request{
		method: http.MethodGet,
		path:   path,
	})
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return merry.Prepend(err, "indent a controller's response")
	}
	fmt.Print(out.String())
	return nil
}

type watchCommand struct {
	controllerFlags
	From uint64        `help:"Revision to start after."`
	Kind resource.Kind `help:"Only this kind."`
}

// Run prints changes as they happen, one JSON object per line, until the controller ends
// the watch. It watches at the first controller of the settings.
func (c *watchCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	url := fmt.Sprintf("%s://%s/v1/watch?from=%d&kind=%s", client.credential.Scheme(), client.controllers[0], c.From, c.Kind)
	response, err := client.http.Get(url)
	if err != nil {
		return merry.Prepend(err, "start the watch")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return merry.New("the changes after this revision are no longer kept; get the resources again")
	}
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("the controller answered the watch with status %s, want 200", response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 2*resource.MaxSpecBytes)
	for lines.Scan() {
		fmt.Println(lines.Text())
	}
	return merry.Prepend(lines.Err(), "read the watch")
}

type deleteCommand struct {
	controllerFlags
	Kind      resource.Kind `arg:"" help:"team, service, upstream or placement."`
	Name      string        `arg:"" help:"The resource's name."`
	IfVersion uint64        `help:"Only this version; zero means the present one."`
}

// Run deletes a resource if it has the expected version.
func (c *deleteCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	version := c.IfVersion
	if version == 0 {
		present, err := get(context.Background(), client, c.Kind, c.Name)
		if err != nil {
			return err
		}
		version = present.Version
	}
	_, err = client.do(context.Background(), request{
		method: http.MethodDelete,
		path:   fmt.Sprintf("%s?version=%d", resourcePath(c.Kind, c.Name), version),
		id:     rand.Text(),
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s %s: deleted\n", c.Kind, c.Name)
	return nil
}

type drainCommand struct {
	controllerFlags
	Upstream string `arg:"" help:"The upstream's name."`
	Undo     bool   `help:"Give it work again."`
}

// Run sets the state of an upstream to draining, or with --undo to active.
func (c *drainCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	present, err := get(context.Background(), client, resource.KindUpstream, c.Upstream)
	if err != nil {
		return err
	}
	if present.Version == 0 {
		return merry.Errorf("upstream %s: does not exist", c.Upstream)
	}
	decoded, err := present.Decode()
	if err != nil {
		return err
	}
	upstream := decoded.(*resource.Upstream)
	upstream.State = resource.UpstreamDraining
	if c.Undo {
		upstream.State = resource.UpstreamActive
	}
	spec, err := json.Marshal(upstream)
	if err != nil {
		return merry.Prepend(err, "encode the upstream's specification")
	}
	outcome, err := apply(client, resource.KindUpstream, c.Upstream, spec)
	if err != nil {
		return err
	}
	fmt.Printf("upstream %s: %s (%s)\n", c.Upstream, upstream.State, outcome)
	return nil
}
