package driver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Sizes of the case: a request of 4 MB, below max_body_bytes, and an answer in two parts.
const (
	longBodyBytes = 4000000
	readBefore    = 64 << 10 // of the body, before the upstream answers
	firstPart     = 500
	secondPart    = 300
)

// pause is the time between two requests. It is longer than an upstream is down, so that one is
// down at a time.
const pause = 2500 * time.Millisecond

// answerPart returns a part of the answer to an attempt.
func answerPart(id string, part, size int) []byte {
	unit := fmt.Sprintf("<%s part %d>", id, part)
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}

// runCutAnswer has upstreams crash in the middle of answers without a length, while they have
// not read the whole request. MIXED: a 2xx with a body that isn't the engine's whole body.
func runCutAnswer(f *fleet, trouble bool) (bool, error) {
	const upstreams, rounds = 8, 20
	end := make(chan struct{})
	defer close(end)
	for i := range upstreams {
		args := []string{"--early"}
		if trouble {
			args = append(args, "--crash")
		}
		if err := f.keepEngine(i, "desk", end, args...); err != nil {
			return false, err
		}
	}
	if err := f.start(); err != nil {
		return false, err
	}
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
	if err := newOperator(f).replace(c, 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	whole, cut, other := 0, 0, map[string]int{}
	for n := range rounds {
		id := fmt.Sprintf("%016x", n+1)
		result, bytes := f.sendLong(n%len(f.gateways), id)
		switch result {
		case "whole":
			whole++
		case "cut":
			cut++
		default:
			other[result]++
		}
		f.record.add("caller: attempt %s: %s, %d bytes of the body", id, result, bytes)
		time.Sleep(pause)
	}
	f.record.add("successes with the whole body %d, with a part of it %d, other ends %v", whole, cut, other)
	fmt.Printf("successes with the whole body %d, with a part of it %d, other ends %v\n", whole, cut, other)
	if !trouble && whole != rounds {
		return false, fmt.Errorf("without the disruption %d of %d requests were answered", whole, rounds)
	}
	return cut > 0, nil
}

// sendLong sends a request with a long body and returns what the caller sees: "whole" or "cut"
// for a success that ends as complete, or else how it failed.
func (f *fleet) sendLong(gateway int, id string) (string, int) {
	body := bytes.Repeat([]byte(id+": a photo "), longBodyBytes/(len(id)+10))
	r, err := http.NewRequest(http.MethodPost, "http://"+f.gatewayAddress(gateway)+"/book/slot", bytes.NewReader(body))
	if err != nil {
		return err.Error(), 0
	}
	r.Host = host
	r.Header.Set("Baobabpaddle-Attempt-Id", id)
	r.Header.Set("Baobabpaddle-Deadline-Ms", "4000")
	r.Header.Set("X-Api-Key", key)
	client := http.Client{
		Timeout: 6 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
	response, err := client.Do(r)
	if err != nil {
		return "no answer", 0
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode != http.StatusOK:
		return "status " + strconv.Itoa(response.StatusCode), len(got)
	case err != nil:
		return "broken off", len(got)
	case bytes.Equal(got, append(answerPart(id, 1, firstPart), answerPart(id, 2, secondPart)...)):
		return "whole", len(got)
	}
	return "cut", len(got)
}
