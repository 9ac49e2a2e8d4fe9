package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// manyGap is the time between two sound streams.
	manyGap = 20 * time.Millisecond
	// fewGap is the time between two requests with the part that crashes runners.
	fewGap = 700 * time.Millisecond
	// fewTime is how long they come.
	fewTime = 45 * time.Second
)

// poisonUnframed sends requests that crash runners whose answers have no length.
func poisonUnframed(d *deployment, trouble bool) (bool, error) {
	if _, err := d.startPoisoned("-unframed"); err != nil {
		return false, err
	}
	consumers := d.newConsumers(gatewayCount)
	end := time.Now().Add(fewTime)
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		sendSteadily(consumers, manyGap, end, func() call { return streamCall(otherPart + ":800," + newRequestID()[:8] + ":173") })
	}()
	for i := 0; trouble && time.Now().Before(end); i++ {
		open.Add(1)
		go func() {
			defer open.Done()
			consumers[i%len(consumers)].send(streamCall(sharedPart + ":800," + poisonPart + ":100," + newRequestID()[:8] + ":73"))
		}()
		time.Sleep(fewGap)
	}
	open.Wait()
	return d.judgeHarmful()
}

// judgeHarmful checks BUDGET: few requests with the part reach runners after the fifth crash.
func (d *deployment) judgeHarmful() (bool, error) {
	if d.crashCount() < crashesOfRule {
		d.record.printf("result: %d crashes", d.crashCount())
		fmt.Printf("%d crashes\n", d.crashCount())
		return false, nil
	}
	counted := d.crashTime(crashesOfRule - 1).Add(contactTime)
	reached := 0
	for i := range d.crashCount() {
		reached += count(d.crashTime(i).After(counted))
	}
	summary := fmt.Sprintf("%d crashes, %d requests with the part reached runners later than contact-ms after the fifth; at most %d may", d.crashCount(), reached, tolerated)
	d.record.printf("result: %s", summary)
	fmt.Println(summary)
	return reached > tolerated, nil
}
