// Program soak runs real controllers and gateways under random faults and checks what
// callers and upstreams see. A failing seed prints the command that runs it again, and
// keeps its logs.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/bench/internal/soak"
	"baobabpaddle/fleet/program"
)

type commandLine struct {
	Bin       string  `type:"existingdir" default:"bin" help:"Folder with the programs."`
	Seed      uint64  `default:"1" help:"First seed."`
	Seeds     int     `default:"1" help:"How many seeds to run."`
	Minutes   float64 `default:"0.5" help:"How long faults come in each run."`
	Processes int     `default:"7" help:"Controllers and gateways of each run."`
	Jobs      int     `default:"1" help:"Runs at the same time."`
	Logs      string  `default:"soak-logs" help:"Folder for the logs of seeds that fail."`
}

// Sizes of a run.
const (
	fewControllers = 3
	controllers    = 5
	// manyProcesses is from how many on there are more controllers.
	manyProcesses  = 20
	upstreams      = 4
	callers        = 4
	firstNetwork   = 40
	networks       = 200
	mostProcesses  = 250
	fewestGateways = 2
)

// options returns those of one seed.
func (c *commandLine) options(seed uint64, slot int) soak.Options {
	o := soak.Options{
		Bin:           c.Bin,
		WorkFolder:    filepath.Join(c.Logs, fmt.Sprintf("seed-%d", seed)),
		Seed:          seed,
		FaultDuration: time.Duration(c.Minutes * float64(time.Minute)),
		Controllers:   fewControllers,
		Upstreams:     upstreams,
		Callers:       callers,
		Network:       firstNetwork + (os.Getpid()+slot)%networks,
	}
	if c.Processes >= manyProcesses {
		o.Controllers = controllers
		o.Callers = 1
	}
	o.Gateways = max(c.Processes-o.Controllers, fewestGateways)
	return o
}

// Run runs all seeds.
func (c *commandLine) Run() error {
	if c.Processes > mostProcesses {
		return merry.Errorf("--processes: at most %d", mostProcesses)
	}
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return merry.Prepend(err, "bin")
	}
	c.Bin = bin
	if c.Logs, err = filepath.Abs(c.Logs); err != nil {
		return merry.Prepend(err, "logs")
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	slots := make(chan int, max(c.Jobs, 1))
	for slot := range max(c.Jobs, 1) {
		slots <- slot
	}
	for i := range c.Seeds {
		slot := <-slots
		seed := c.Seed + uint64(i)
		group.Go(func() {
			defer func() { slots <- slot }()
			if !c.one(c.options(seed, slot)) {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	fmt.Printf("%d of %d seeds failed\n", failed, c.Seeds)
	if failed > 0 {
		return merry.New("some seeds failed")
	}
	return nil
}

// one runs one seed and reports whether all was kept.
func (c *commandLine) one(o soak.Options) bool {
	report, err := soak.Run(context.Background(), o)
	if err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	fmt.Printf("seed %d: %d attempts, %d retries, ended %v, faults %s\n", o.Seed, report.Attempts, report.Retries, report.Outcomes, report.Faults)
	if len(report.Violations) == 0 {
		if err := os.RemoveAll(o.WorkFolder); err != nil {
			fmt.Println("logs not removed:", err)
		}
		return true
	}
	for _, b := range report.Violations {
		fmt.Println("  broken:", b)
	}
	fmt.Printf("  again: bin/soak --seed %d --minutes %g --processes %d   logs: %s\n", o.Seed, c.Minutes, c.Processes, o.WorkFolder)
	return false
}

func main() {
	program.Run("soak", "Runs the fleet under random faults.", &commandLine{})
}
