package driver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Times of the case.
const (
	cutTime     = 12 * time.Second // of the partition, from the first start on
	wipedTime   = 3 * time.Second  // from the loss of a disk to the restart of its machine
	recoverTime = 12 * time.Second // RecoverS
	readTime    = 15 * time.Second // of reading the configuration back
)

// relay forwards connections from one address to another, until the process ends.
func relay(from, to string) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				d, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer d.Close()
				go func() {
					_, _ = io.Copy(d, c)
					d.Close()
				}()
				_, _ = io.Copy(c, d)
			}()
		}
	}()
	return nil
}

// cutOffLast has the last controller start with a partition between it and all others: nothing
// listens at the relays on its paths, in both directions, before the returned function is called.
func (f *fleet) cutOffLast() (heal func() error, err error) {
	last := len(f.controllers) - 1
	host := func(number int) string { return fmt.Sprintf("%s.%d", f.network, number) }
	const hidden, firstRelay = 33, 21 // numbers of hosts
	data := filepath.Join(f.work, fmt.Sprintf("controller-%d.data", last+1))
	type path struct{ from, to string }
	paths := []path{
		{
			from: fmt.Sprintf("%s:%d", f.controllerHost(last), peerPort),
			to:   fmt.Sprintf("%s:%d", host(hidden), peerPort),
		},
	}
	var seeds []string
	for i := range last {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host(firstRelay+i), operatorPort))
		paths = append(paths, path{
			from: fmt.Sprintf("%s:%d", host(firstRelay+i), peerPort),
			to:   fmt.Sprintf("%s:%d", f.controllerHost(i), peerPort),
		})
	}
	settings := f.controllerSettings(last, append(seeds, f.operatorAddress(last)), data, true)
	settings["listen_address"] = host(hidden)
	if err := writeJSON(f.settingsPath(f.controllers[last]), settings); err != nil {
		return nil, err
	}
	return func() error {
		for _, p := range paths {
			if err := relay(p.from, p.to); err != nil {
				return err
			}
		}
		f.record.add("the partition has healed")
		return nil
	}, nil
}

// wipe kills a controller and starts it again later with an empty disk.
func (f *fleet) wipe(i int) error {
	p := f.controllers[i]
	p.kill()
	f.record.add("%s has lost power and its disk", p.name)
	data := filepath.Join(f.work, fmt.Sprintf("controller-%d.data", i+1))
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	time.Sleep(wipedTime)
	var seeds []string
	for k := range f.controllers {
		seeds = append(seeds, f.operatorAddress(k))
	}
	if err := writeJSON(f.settingsPath(p), f.controllerSettings(i, seeds, data, false)); err != nil {
		return err
	}
	f.record.add("%s starts again with an empty disk", p.name)
	return p.start()
}

// read returns the version of the configuration that a controller answers with.
func (o *operator) read(i int) (uint64, error) {
	response, err := o.client.Get("http://" + o.fleet.operatorAddress(i) + "/v1/configuration")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return 0, fmt.Errorf("status %d %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	var c configuration
	if err := json.NewDecoder(response.Body).Decode(&c); err != nil {
		return 0, err
	}
	return c.Version, nil
}

// runOneVoter has one machine of the core partitioned from the others from the first start on, and
// the one that has acknowledged the first configuration lose its disk right after that. LOST: what
// was acknowledged (config) is gone. CUT and WIPE set to 0 leave out one of the two.
func runOneVoter(f *fleet, trouble bool) (bool, error) {
	cut, wipe := trouble && os.Getenv("CUT") != "0", trouble && os.Getenv("WIPE") != "0"
	heal := func() error { return nil }
	if cut {
		var err error
		if heal, err = f.cutOffLast(); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	if err := f.start(); err != nil {
		return false, err
	}
	healed := make(chan error, 1)
	time.AfterFunc(cutTime, func() { healed <- heal() })
	operator := newOperator(f)
	c := newConfiguration(1, []service{plainService("desk")}, []route{
		{
			Name:            "r-book",
			Host:            host,
			PathPrefix:      "/book/",
			Kind:            "unsafe",
			TimeoutMillis:   4000,
			ObjectiveMillis: 300,
			Priority:        1,
			Service:         "desk",
			MaxUpstreams:    1,
		},
	})
	if err := operator.replace(c, 30*time.Second); err != nil {
		return false, err
	}
	acknowledged := time.Since(begun)
	if wipe {
		if err := f.wipe(0); err != nil {
			return false, err
		}
	}
	if err := <-healed; err != nil {
		return false, err
	}
	f.record.add("all machines are back")
	time.Sleep(recoverTime)
	last := errors.New("not read")
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range f.controllers {
			version, err := operator.read(i)
			if err == nil && version >= c.Version {
				f.record.add("operator: %s answers with configuration %d", f.controllers[i].name, version)
				fmt.Printf("confirmed %v after the first start, read back\n", acknowledged.Round(time.Millisecond))
				return false, nil
			}
			if err != nil {
				last = err
			}
		}
	}
	f.record.add("operator: the configuration can't be read back from %v after all machines are back to %v: %v", recoverTime, recoverTime+readTime, last)
	fmt.Printf("confirmed %v after the first start; not to be read back %v after all machines are back\n", acknowledged.Round(time.Millisecond), recoverTime+readTime)
	return true, nil
}
