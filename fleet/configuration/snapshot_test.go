package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// sorted returns the configuration with its parts sorted by name, so that two can be
// compared regardless of order.
func sorted(c *Configuration) Configuration {
	out := *c
	out.Routes = append([]Route{}, c.Routes...)
	slices.SortFunc(out.Routes, func(a, b Route) int {
		return strings.Compare(a.Host+" "+a.PathPrefix, b.Host+" "+b.PathPrefix)
	})
	out.Services = append([]Service{}, c.Services...)
	slices.SortFunc(out.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	out.Teams = append([]Team{}, c.Teams...)
	slices.SortFunc(out.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// randomConfiguration returns a configuration whose parts have few different names,
// so that any two of them have some in common.
func randomConfiguration(random *rand.Rand, version uint64) *Configuration {
	c := &Configuration{
		Version: version,
		Limits: Limits{
			MaxHeaderBytes: random.IntN(3),
		},
	}
	for i := range 3 {
		s := Service{
			Name: fmt.Sprint("service", i),
		}
		if random.IntN(2) == 0 {
			s.Engine = &Engine{
				Slots: random.IntN(3),
			}
		}
		if i == 0 || random.IntN(2) == 0 {
			c.Services = append(c.Services, s)
		}
	}
	for i := range 8 {
		if random.IntN(3) == 0 {
			continue
		}
		c.Routes = append(c.Routes, Route{
			Name:          fmt.Sprint("route", random.IntN(3)),
			Host:          "Host.example",
			PathPrefix:    fmt.Sprintf("/%d/", i),
			Kind:          Safe,
			TimeoutMillis: 1 + random.Int64N(3),
			Split: []WeightedService{{
				Service: "service0",
				Weight:  1 + random.Int64N(2),
			}},
		})
	}
	for i := range 5 {
		if random.IntN(3) > 0 {
			c.Teams = append(c.Teams, Team{
				Name: fmt.Sprint("team", i),
				Keys: []string{fmt.Sprint("key", i, random.IntN(3))},
			})
		}
	}
	random.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
	return c
}

// TestApplyReproducesConfiguration encodes, decodes and applies the changes between
// random configurations: each must give the content of the next one.
func TestApplyReproducesConfiguration(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	have, err := NewSnapshot(randomConfiguration(random, 1))
	is.NoErr(err)
	for version := uint64(2); version < 500; version++ {
		want := randomConfiguration(random, version)
		is.NoErr(want.Check())
		next, err := NewSnapshot(want)
		is.NoErr(err)
		encoded, err := cbor.Marshal(next.Since(have))
		is.NoErr(err)
		var change Change
		is.NoErr(cbor.Unmarshal(encoded, &change))
		have, err = have.Apply(&change)
		is.NoErr(err)
		is.Equal(sorted(have.Configuration), sorted(want))
		is.Equal(have.sum, next.sum)
	}
}

// TestApplyRefusesOtherBase applies changes whose base is another version, or other
// content under the same version: both must give ErrBaseMismatch.
func TestApplyRefusesOtherBase(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	snapshot := func(version uint64) *Snapshot {
		s, err := NewSnapshot(randomConfiguration(random, version))
		is.NoErr(err)
		return s
	}
	one, other, two, three := snapshot(1), snapshot(1), snapshot(2), snapshot(3)
	_, err := one.Apply(three.Since(two))
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = other.Apply(two.Since(one))
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = one.Apply(two.Since(one))
	is.NoErr(err)
}

// TestChangeIsSmall adds one route to 1,200: the encoded change must be smaller than
// a hundredth of the whole document.
func TestChangeIsSmall(t *testing.T) {
	is := is.New(t)
	c, document := largeConfiguration(t)
	before, err := NewSnapshot(c)
	is.NoErr(err)
	next := *c
	next.Version++
	next.Routes = append(slices.Clone(c.Routes), Route{
		Name:          "new",
		Host:          "new.example",
		PathPrefix:    "/",
		Kind:          Safe,
		TimeoutMillis: 1000,
		Service:       "llm",
	})
	after, err := NewSnapshot(&next)
	is.NoErr(err)
	encoded, err := cbor.Marshal(after.Since(before))
	is.NoErr(err)
	is.True(len(encoded)*100 < len(document))
}

// BenchmarkApply applies a change of one route among 1,200.
func BenchmarkApply(b *testing.B) {
	c, _ := largeConfiguration(b)
	before, err := NewSnapshot(c)
	if err != nil {
		b.Fatal(err)
	}
	next := *c
	next.Version++
	next.Routes = slices.Clone(c.Routes)
	next.Routes[7].TimeoutMillis++
	after, err := NewSnapshot(&next)
	if err != nil {
		b.Fatal(err)
	}
	change := after.Since(before)
	for b.Loop() {
		s, err := before.Apply(change)
		if err != nil {
			b.Fatal(err)
		}
		NewTable(s.Configuration)
	}
}
