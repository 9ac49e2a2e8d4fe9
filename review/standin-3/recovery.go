package main

import (
	"sync"
	"time"
)

// The recovery from a loss of power of all machines, while the origin corrupts manifests.
const (
	// powerCalm is how long requests come before the loss of power, downAll how long the machines
	// are without power, and recoverTime the bound of the rule. afterRecovery is for how long
	// requests are judged.
	powerCalm     = 8 * time.Second
	downAll       = 1500 * time.Millisecond
	recoverTime   = 12 * time.Second
	afterRecovery = 20 * time.Second
	// corruptFor is how long after the return the manifests that the origin sends are corrupted.
	corruptFor = time.Second
	// servedShare is the part of the requests that must be served.
	servedShare = 4
)

func playRecovery(d *deployment) (broken bool, err error) {
	j, err := d.startPool()
	if err != nil {
		return false, err
	}
	c := newReader(d)
	stop := make(chan struct{})
	begun := time.Now()
	go c.steady(stop)
	time.Sleep(powerCalm)
	fault := time.Now()
	d.killAll()
	var off sync.WaitGroup
	for _, e := range j.engines {
		off.Go(e.powerOff)
	}
	off.Wait()
	d.note("all machines have lost power")
	time.Sleep(downAll)
	back := time.Now()
	if d.trouble {
		j.origin.corruptUntil(back.Add(corruptFor))
		d.note("the origin corrupts the manifests that it sends for %s", corruptFor)
	}
	for _, e := range j.engines {
		if err := e.start(); err != nil {
			return false, err
		}
		e.beat()
	}
	for _, p := range d.processes {
		if err := d.launch(p); err != nil {
			return false, err
		}
	}
	d.note("all machines have power again")
	time.Sleep(time.Until(back.Add(recoverTime + afterRecovery)))
	last := time.Now()
	close(stop)
	c.done.Wait()
	sentBefore, servedBefore := c.served(begun, fault)
	sent, served := c.served(back.Add(recoverTime), last)
	d.note("before the loss of power: %d requests sent, %d served; later than %s after it: %d sent, %d served", sentBefore, servedBefore, recoverTime, sent, served)
	j.origin.report(d)
	return servedBefore*servedShare >= sentBefore && served*servedShare < sent, nil
}
