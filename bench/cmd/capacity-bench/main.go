// Program capacity-bench prints the cost slopes with which docs/CAPACITY.md extrapolates
// the fleet's needs to a larger size: bytes and microseconds per team, per backlogged
// team, per node, per change, per request and per replica.
package main

import (
	"context"
	"fmt"
	"time"

	"baobabpaddle/fleet/program"
)

// benchTimeout limits all measurements together.
const benchTimeout = 5 * time.Minute

type commandLine struct {
	Bin string `required:"" type:"path" help:"Folder with the programs."`
}

// Run prints every slope.
func (c *commandLine) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	if err := measureStructures(); err != nil {
		return err
	}
	if err := measureMessages(); err != nil {
		return err
	}
	return c.measureProcesses(ctx)
}

// printSlope prints the cost that one more item of a kind adds to a role.
func printSlope(role, per, unit string, value float64) {
	fmt.Printf("slope role=%s per=%s unit=%s value=%.2f\n", role, per, unit, value)
}

func main() {
	program.Run("capacity-bench", "Measures what the fleet needs per team, node, change and request.", &commandLine{})
}
