package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	sharedPart = "5c1e07a2"
	otherPart  = "77aa0c1e"
	// soundGap is the time between two groups of soundGroup sound requests with the shared part,
	// harmfulGap that between two requests with the part that crashes runners, and otherGap that
	// of others.
	soundGap   = 3600 * time.Millisecond
	soundGroup = 3
	harmfulGap = 160 * time.Millisecond
	otherGap   = 100 * time.Millisecond
	// calmTime is before the first harmful request, which comes 1.2 s after a group of sound
	// ones, and harmfulTime from then on.
	calmTime    = 8*soundGap + 1200*time.Millisecond
	harmfulTime = 48 * time.Second
	// minSample is how many requests of each kind the rule wants.
	minSample = 20
)

// sample is a sound request with the shared part.
type sample struct {
	sent  time.Time
	began bool
}

// poisonSound sends sound requests that share the key and the first part of requests that crash
// runners.
func poisonSound(d *deployment, trouble bool) (bool, error) {
	if _, err := d.startPoisoned(); err != nil {
		return false, err
	}
	consumers := d.newConsumers(gatewayCount)
	began := time.Now()
	harmfulFrom, end := began.Add(calmTime), began.Add(calmTime+harmfulTime)
	var mu sync.Mutex
	var samples []sample
	var open sync.WaitGroup
	// Each flow sends a group of requests per gap, at each consumer in turn.
	flow := func(group int, gap time.Duration, from time.Time, key string, parts func() string, seen func(sent time.Time, r reply)) {
		open.Add(1)
		go func() {
			defer open.Done()
			time.Sleep(time.Until(from))
			for i := 0; time.Now().Before(end); i++ {
				for j := range group {
					open.Add(1)
					go func() {
						defer open.Done()
						sent := time.Now()
						c := streamCall(parts())
						c.key = key
						seen(sent, consumers[(i+j)%len(consumers)].send(c))
					}()
				}
				time.Sleep(time.Until(from.Add(time.Duration(i+1) * gap)))
			}
		}()
	}
	ignore := func(time.Time, reply) {}
	flow(1, otherGap, began, apiKey, func() string { return otherPart + ":800," + newRequestID()[:8] + ":173" }, ignore)
	flow(soundGroup, soundGap, began, secondKey, func() string { return sharedPart + ":800," + newRequestID()[:8] + ":173" }, func(sent time.Time, r reply) {
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, sample{sent, r.status == http.StatusOK})
	})
	if trouble {
		flow(1, harmfulGap, harmfulFrom, secondKey, func() string { return sharedPart + ":800," + poisonPart + ":100," + newRequestID()[:8] + ":73" }, ignore)
	}
	open.Wait()

	counted := harmfulFrom.Add(2 * contactTime)
	if trouble {
		if d.crashCount() == 0 {
			return false, fmt.Errorf("no runner crashed")
		}
		counted = d.crashTime(min(d.crashCount(), crashesOfRule) - 1).Add(2 * contactTime)
	}
	calm, calmBegan, later, laterBegan := 0, 0, 0, 0
	for _, s := range samples {
		switch {
		case s.sent.Before(harmfulFrom):
			calm++
			calmBegan += count(s.began)
		case s.sent.After(counted):
			later++
			laterBegan += count(s.began)
		}
	}
	summary := fmt.Sprintf("sound requests with the shared part: %d of %d began before, %d of %d from 2 x contact-ms after the fifth crash on; %d crashes",
		calmBegan, calm, laterBegan, later, d.crashCount())
	d.record.printf("result: %s", summary)
	fmt.Println(summary)
	if calm < minSample || later < minSample {
		return false, fmt.Errorf("fewer than %d requests", minSample)
	}
	return 2*laterBegan*calm < calmBegan*later, nil
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
