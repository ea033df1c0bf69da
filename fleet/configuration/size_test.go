package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
)

// manyRoutes is the number of routes of a large configuration.
const manyRoutes = 1200

// largeConfiguration returns a configuration with manyRoutes routes on four hosts,
// and its JSON document.
func largeConfiguration(tb testing.TB) (*Configuration, []byte) {
	tb.Helper()
	c := &Configuration{
		Version: 7,
		Services: []Service{{
			Name: "llm",
		}},
	}
	for i := range manyRoutes {
		c.Routes = append(c.Routes, Route{
			Name:            fmt.Sprintf("r-%07d", i),
			Host:            fmt.Sprintf("h%d.example", i%4),
			PathPrefix:      fmt.Sprintf("/p%05d/", i),
			Kind:            Stream,
			TimeoutMillis:   15000,
			ObjectiveMillis: 400,
			Service:         "llm",
		})
	}
	for i := range 60 {
		c.Teams = append(c.Teams, Team{
			Name: fmt.Sprintf("t%d", i),
			Keys: []string{fmt.Sprintf("key-%d", i)},
		})
	}
	document, err := json.Marshal(c)
	if err != nil {
		tb.Fatal(err)
	}
	return c, document
}

// BenchmarkParse parses and indexes a configuration of 1,200 routes.
func BenchmarkParse(b *testing.B) {
	_, document := largeConfiguration(b)
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		c, err := Parse(document)
		if err != nil {
			b.Fatal(err)
		}
		NewTable(c)
	}
}

// BenchmarkRoute looks up a route among 1,200.
func BenchmarkRoute(b *testing.B) {
	c, _ := largeConfiguration(b)
	t := NewTable(c)
	for b.Loop() {
		if t.Route("h3.example", "/p01199/x") == nil {
			b.Fatal("the route is not found")
		}
	}
}
