// Package seed gives the property tests of a package the same random values in every
// run, unless a seed is given with -rapid.seed. Main is called from TestMain.
package seed

import (
	"flag"
	"testing"
)

const (
	flagName    = "rapid.seed"
	defaultSeed = "20260105"
)

// Main runs the tests of a package with the default seed, or with the one given by
// the flag. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup(flagName); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set(flagName, defaultSeed); err != nil {
			panic(err)
		}
	}
	m.Run()
}
