package main

import (
	"strings"
	"sync"
	"time"
)

// partsBefore is the number of parts before the one that crashes runners, as in the prompt of a
// long session.
const partsBefore = 36

// poisonLong sends requests that crash runners under a part far back in a long prompt.
func poisonLong(d *deployment, trouble bool) (bool, error) {
	if _, err := d.startPoisoned(); err != nil {
		return false, err
	}
	consumers := d.newConsumers(gatewayCount)
	end := time.Now().Add(fewTime)
	longPrompt := func(part string) call {
		var parts strings.Builder
		for range partsBefore {
			parts.WriteString(newRequestID()[:8] + ":20,")
		}
		return streamCall(parts.String() + part + ":100," + newRequestID()[:8] + ":73")
	}
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		sendSteadily(consumers, manyGap, end, func() call { return longPrompt(otherPart) })
	}()
	for i := 0; trouble && time.Now().Before(end); i++ {
		open.Add(1)
		go func() {
			defer open.Done()
			consumers[i%len(consumers)].send(longPrompt(poisonPart))
		}()
		time.Sleep(fewGap)
	}
	open.Wait()
	return d.judgeHarmful()
}
