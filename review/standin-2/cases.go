package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// start starts a deployment: gateways, and side machines whose runners hold version 1.
func start(d *deployment, gateways, sides int, poison string) error {
	d.nameVersion(1)
	d.declare(1)
	for range sides {
		if _, err := d.addSide(1, poison); err != nil {
			return err
		}
	}
	for range gateways {
		if _, err := d.addGateway(); err != nil {
			return err
		}
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return err
	}
	return d.awaitService(15 * time.Second)
}

// awaitService waits until each gateway has had a request served.
func (d *deployment) awaitService(within time.Duration) error {
	deadline, c := time.Now().Add(within), newCaller()
	for _, m := range d.gateways {
		for !c.send(m, sound(2)).served() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves no request after %s", m.name, within)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

const (
	// spoilEvery makes one of 25 answers of the origin spoiled, 0.04, for spoilTime.
	spoilEvery = 25
	spoilTime  = 8 * time.Second
	// before is how long requests are sent before the new version is named, after how long from
	// then on.
	before = 3 * time.Second
	after  = 87 * time.Second
	// starvedShare is the share of the rate at which all requests are served of which less is a
	// broken rule.
	starvedShare = 0.25
)

// spoiledManifest plays a new version of the weights while the origin spoils a share of its
// answers.
func spoiledManifest(d *deployment, trouble bool) (bool, error) {
	for range 2 {
		if _, err := d.addDesk(); err != nil {
			return false, err
		}
	}
	if err := start(d, 1, 3, ""); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), before+after)
	defer stop()
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, 20, func(i int) request {
			r := sound(8)
			if i%2 == 0 {
				r.prefix = deskPrefix
			}
			return r
		})
		close(done)
	}()
	time.Sleep(before)
	if trouble {
		d.origin.spoilEvery.Store(spoilEvery)
		d.record.line("the origin spoils one of %d answers for %s", spoilEvery, spoilTime)
		time.AfterFunc(spoilTime, func() { d.origin.spoilEvery.Store(0) })
	}
	d.nameVersion(2)
	namedAt := time.Now()
	d.record.line("version 2 of the weights is named")
	<-done
	var streams, desk, all share
	bySecond := map[int]*share{}
	for _, a := range list.all() {
		all.count(a)
		if a.request.plain() {
			desk.count(a)
			continue
		}
		streams.count(a)
		second := int(a.sentAt.Sub(namedAt) / (5 * time.Second))
		if bySecond[second] == nil {
			bySecond[second] = &share{}
		}
		bySecond[second].count(a)
	}
	for second := range int(after / (5 * time.Second)) {
		if s := bySecond[second]; s != nil {
			d.record.line("streams sent %d to %d s after the version was named: served %s", 5*second, 5*second+5, s)
		}
	}
	d.record.line("origin: %d manifests sent, %d of them spoiled; %d answers from the start of the trouble, %d of them spoiled",
		d.origin.manifests.Load(), d.origin.spoiledManifests.Load(), d.origin.answers.Load(), d.origin.spoiled.Load())
	for _, event := range d.runnerEvents() {
		if event.what == "order" {
			d.record.line("order to %s at %.3f: version %s", event.runner, event.at.Sub(d.record.start).Seconds(), event.request)
		}
	}
	d.record.line("served: %s of all requests, %s of those to the desk, %s of the streams", all, desk, streams)
	d.record.line("streams are served %.2f times as often as all requests; below %.2f the rule is broken", streams.of()/all.of(), starvedShare)
	return streams.of() < starvedShare*all.of(), nil
}

// share counts the requests that were served.
type share struct {
	served, all int
	statuses    map[int]int
}

func (s *share) count(a answer) {
	if s.statuses == nil {
		s.statuses = map[int]int{}
	}
	s.all++
	s.statuses[a.status]++
	if a.served() {
		s.served++
	}
}

func (s share) of() float64 {
	if s.all == 0 {
		return 0
	}
	return float64(s.served) / float64(s.all)
}

func (s share) String() string {
	return fmt.Sprintf("%d of %d, by status %v", s.served, s.all, s.statuses)
}

const (
	poisonPart = "bad0c0de"
	contact    = 3 * time.Second
	// clumpSize requests with the part come at one moment, each clumpInterval.
	clumpSize     = 4
	clumpInterval = 5 * time.Second
	clumps        = 8
	// runnerDown is how long a runner that ended stays away.
	runnerDown = 3 * time.Second
	// maxLateArrivals is how many requests with the part may reach runners later than contact
	// after the crash number maxCrashes.
	maxLateArrivals = 3
	maxCrashes      = 5
)

// clumpedPoison plays requests with a part that ends each runner, a few of them at one moment.
func clumpedPoison(d *deployment, trouble bool) (bool, error) {
	poison := ""
	if trouble {
		poison = poisonPart
	}
	if err := start(d, 2, 8, poison); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range d.sides {
		go m.restartRunner(ctx)
	}
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, 20, func(i int) request {
			r := sound(12)
			if i%2 == 0 {
				r.prefix = singlePrefix
			}
			return r
		})
		close(done)
	}()
	time.Sleep(4 * time.Second)
	c := newCaller()
	var open sync.WaitGroup
	for range clumps {
		for i := range clumpSize {
			id := newID()
			r := request{id: id, parts: "5c1e07a2:40," + poisonPart + ":300," + id[:8] + ":60", task: task{Events: 12}, timeout: 6 * time.Second}
			gateway := d.gateways[i%len(d.gateways)]
			open.Go(func() { d.record.line("with the part: %s", c.send(gateway, r).describe()) })
		}
		time.Sleep(clumpInterval)
	}
	open.Wait()
	stop()
	<-done
	return d.judgePoison(list), nil
}

const (
	// earlierParts is the number of parts before the one that ends runners, such as the earlier
	// turns of a conversation.
	earlierParts = 34
	// turnInterval is the time between two requests with it, turns their number.
	turnInterval = 2 * time.Second
	turns        = 18
)

// longPrompt plays requests with a part that ends each runner, late in a long list of parts.
func longPrompt(d *deployment, trouble bool) (bool, error) {
	poison := ""
	if trouble {
		poison = poisonPart
	}
	if err := start(d, 2, 8, poison); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, m := range d.sides {
		go m.restartRunner(ctx)
	}
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, 20, func(i int) request {
			r := sound(12)
			if i%2 == 0 {
				r.prefix = singlePrefix
			}
			return r
		})
		close(done)
	}()
	time.Sleep(4 * time.Second)
	c := newCaller()
	var open sync.WaitGroup
	for i := range turns {
		id := newID()
		parts := "5c1e07a2:40"
		for range earlierParts {
			parts += "," + newID()[:8] + ":10"
		}
		r := request{id: id, parts: parts + "," + poisonPart + ":10," + id[:8] + ":10", task: task{Events: 12}, timeout: 6 * time.Second}
		gateway := d.gateways[i%len(d.gateways)]
		open.Go(func() { d.record.line("with the part: %s", c.send(gateway, r).describe()) })
		time.Sleep(turnInterval)
	}
	open.Wait()
	stop()
	<-done
	return d.judgePoison(list), nil
}

const (
	// revokeTime is revoke-ms.
	revokeTime = 5 * time.Second
	// revokedRate is the rate of requests with the key that was taken away.
	revokedRate = 10.0
)

// lastTenant plays a manifest that takes the only tenant away.
func lastTenant(d *deployment, trouble bool) (bool, error) {
	if err := start(d, 1, 2, ""); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, revokedRate, func(int) request { return sound(4) })
		close(done)
	}()
	time.Sleep(4 * time.Second)
	d.keys = []any{map[string]any{"name": "tenant-a", "api-keys": []any{"another-key"}, "priority": 1, "allowed-regions": []any{}}}
	if trouble {
		d.keys = []any{}
	}
	d.declare(2)
	takenAt := time.Now()
	d.record.line("version 2 of the manifest takes the key away; its tenants are %v", d.keys)
	time.Sleep(revokeTime + 10*time.Second)
	stop()
	<-done
	return d.judgeRevoked(list, takenAt), nil
}

// judgeRevoked counts the requests that ran with a key that had been taken away.
func (d *deployment) judgeRevoked(list *answers, takenAt time.Time) bool {
	ran := d.ran()
	late, broken := share{}, 0
	for _, a := range list.all() {
		if !a.sentAt.After(takenAt.Add(revokeTime)) {
			continue
		}
		late.count(a)
		if ran[a.request.id] {
			broken++
		}
	}
	d.record.line("sent later than %s after the manifest: served %s; %d of them ran, none may", revokeTime, late, broken)
	return broken > 0
}

// ran returns the requests that ran.
func (d *deployment) ran() map[string]bool {
	ran := map[string]bool{}
	for _, event := range d.runnerEvents() {
		if event.what == "run" {
			ran[event.request] = true
		}
	}
	return ran
}

const (
	// drillGateways and drillSides are seven machines, of which one is killed: 0.143, at most
	// 0.16 may be.
	drillGateways, drillSides = 2, 5
	// copyAge is by how much the copy is older than the manifest that takes the key away.
	copyAge = time.Second
	// drillAfter is when the store is away, drillTime for how long, and writtenAgain how long
	// after its return the operator writes the manifest once more.
	drillAfter   = 4 * time.Second
	drillTime    = 500 * time.Millisecond
	writtenAgain = 2 * time.Second
)

// restartInDrill plays a store that comes back from a copy, while a gateway is restarted.
func restartInDrill(d *deployment, trouble bool) (bool, error) {
	if err := start(d, drillGateways, drillSides, ""); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, 2*revokedRate, func(int) request { return sound(6) })
		close(done)
	}()
	time.Sleep(3 * time.Second)
	before := d.store.copy()
	time.Sleep(copyAge)
	d.keys = []any{map[string]any{"name": "tenant-a", "api-keys": []any{"another-key"}, "priority": 1, "allowed-regions": []any{}}}
	d.declare(2)
	takenAt := time.Now()
	d.record.line("version 2 of the manifest takes the key away")
	time.Sleep(drillAfter)
	if trouble {
		d.store.leave()
		kill(d.gateways[0].system)
		d.record.line("the store is away; %s is killed", d.gateways[0].name)
		time.Sleep(drillTime)
		d.store.restore(before)
		if err := d.gateways[0].startSystem(false); err != nil {
			return false, err
		}
		d.record.line("the store is back from a copy; %s is started", d.gateways[0].name)
	}
	time.Sleep(writtenAgain)
	d.declare(2)
	d.record.line("version 2 of the manifest is written again")
	time.Sleep(revokeTime)
	stop()
	<-done
	return d.judgeRevoked(list, takenAt), nil
}

// judgePoison counts the requests with the part that reached runners too late, and records them,
// the crashes and the sound requests that were not served.
func (d *deployment) judgePoison(list *answers) bool {
	var crashes []time.Time
	events := d.runnerEvents()
	for _, event := range events {
		if event.what == "crash" {
			crashes = append(crashes, event.at)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, event := range events {
		if !strings.Contains(event.part, poisonPart) || event.what != "run" {
			continue
		}
		isLate := len(crashes) >= maxCrashes && event.at.After(crashes[maxCrashes-1].Add(contact))
		if isLate {
			late++
		}
		d.record.line("request %s with the part reached %s at %.3f, late %t", event.request, event.runner, event.at.Sub(d.record.start).Seconds(), isLate)
	}
	cut, all := 0, 0
	for _, a := range list.all() {
		all++
		if !a.served() {
			cut++
			d.record.line("sound request not served: %s", a.describe())
		}
	}
	for i, at := range crashes {
		d.record.line("crash %d of a runner at %.3f", i+1, at.Sub(d.record.start).Seconds())
	}
	d.record.line("%d crashes; %d requests with the part reached runners later than %s after crash %d, at most %d may; %d of %d sound requests not served",
		len(crashes), late, contact, maxCrashes, maxLateArrivals, cut, all)
	return late > maxLateArrivals
}

// restartRunner starts the runner of a machine again, runnerDown after it has ended.
func (m *machine) restartRunner(ctx context.Context) {
	for ctx.Err() == nil {
		m.d.mu.Lock()
		runner := m.runner
		m.d.mu.Unlock()
		_ = runner.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(runnerDown):
		}
		if err := m.startRunner(0); err != nil {
			m.d.record.line("cannot start the runner of %s: %v", m.name, err)
			return
		}
	}
}

// Long bodies: the usual rate of requests and that of a burst, the length of their bodies, and the
// uplink of a consumer.
const (
	usualRate   = 16.0
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	longBody    = maxBodyBytes - 1024
	uplink      = 10e6 / 8
	bodyTimeout = 8 * time.Second
	holdMS      = 500
	// maxCuts is how many requests that were passed on from kept channels may be cut.
	maxCuts = 3
)

// longBodies plays a burst of requests with long bodies, inside the limits of the manifest. The
// platform ends a process that exceeds the memory of its machine.
func longBodies(d *deployment, trouble bool) (bool, error) {
	for range 3 {
		if _, err := d.addDesk(); err != nil {
			return false, err
		}
	}
	d.declare(1)
	m, err := d.addGateway()
	if err != nil {
		return false, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var peak, killedAt atomic.Int64
	go m.limitMemory(&peak, &killedAt)
	var late atomic.Int64
	go watchTimer(&late)
	padding := strings.Repeat("x", longBody)
	c := newCaller()
	list := &answers{}
	var open sync.WaitGroup
	play := func(rate float64, length time.Duration) {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for end := time.After(length); ; {
			select {
			case <-end:
				return
			case <-ticker.C:
			}
			r := request{id: newID(), prefix: deskPrefix, task: task{HoldMS: holdMS, Padding: padding}, timeout: bodyTimeout, uplink: uplink}
			open.Go(func() { list.add(c.send(m, r)) })
		}
	}
	play(usualRate, 10*time.Second)
	d.record.line("peak memory at the usual rate: %d MB", peak.Load()>>20)
	if trouble {
		d.record.line("burst: %.1f times the usual rate for %s", burstFactor, burstTime)
		play(usualRate*burstFactor, burstTime)
	}
	play(usualRate, 10*time.Second)
	open.Wait()
	ran := d.ran()
	cut, result := 0, share{}
	for _, a := range list.all() {
		result.count(a)
		if ran[a.request.id] && a.kept && a.err != nil {
			cut++
		}
		d.record.line("%s at %s: status %d, complete %t, kept channel %t, ran %t, %d ms, %v", a.request.id, a.gateway, a.status, a.complete, a.kept, ran[a.request.id], a.took.Milliseconds(), a.err)
	}
	if at := killedAt.Load(); at != 0 {
		d.record.line("the gateway exceeded %d MB at %.3f and was killed", memoryMB, time.UnixMilli(at).Sub(d.record.start).Seconds())
	}
	d.record.line("a timer of %s came %d ms late at most", timerPeriod, time.Duration(late.Load()).Milliseconds())
	d.record.line("peak memory %d MB of %d; served %s; %d requests that ran were cut on kept channels, at most %d may", peak.Load()>>20, memoryMB, result, cut, maxCuts)
	return cut > maxCuts, nil
}

// timerPeriod is how often watchTimer looks at the clock.
const timerPeriod = 5 * time.Millisecond

// watchTimer stores by how much a timer is late at most, which shows a machine without processor
// time to spare.
func watchTimer(late *atomic.Int64) {
	for before := time.Now(); ; {
		time.Sleep(timerPeriod)
		now := time.Now()
		late.Store(max(late.Load(), int64(now.Sub(before)-timerPeriod)))
		before = now
	}
}

const (
	// endlessDesks runners have slots for endlessAtOnce requests at a time.
	endlessDesks  = 11
	endlessAtOnce = 64
	endlessTime   = 15 * time.Second
)

// endlessAnswers plays runners that answer some requests with bytes without end that are no answer.
func endlessAnswers(d *deployment, trouble bool) (bool, error) {
	for range endlessDesks {
		if _, err := d.addDesk(); err != nil {
			return false, err
		}
	}
	d.declare(1)
	m, err := d.addGateway()
	if err != nil {
		return false, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var peak, killedAt atomic.Int64
	go m.limitMemory(&peak, &killedAt)
	ctx, stop := context.WithTimeout(context.Background(), endlessTime)
	defer stop()
	var open sync.WaitGroup
	endless := &answers{}
	if trouble {
		for i := range endlessAtOnce {
			open.Go(func() {
				c := newCaller()
				for ctx.Err() == nil {
					endless.add(c.send(m, request{id: newID(), prefix: deskPrefix, task: task{Endless: 1 + i%endlessForms}, timeout: bodyTimeout}))
				}
			})
		}
	}
	list := traffic(ctx, d, 20, func(int) request {
		r := sound(1)
		r.prefix = deskPrefix
		return r
	})
	open.Wait()
	result, floods := share{}, share{}
	for _, a := range list.all() {
		result.count(a)
	}
	for _, a := range endless.all() {
		floods.count(a)
	}
	ran, longest := 0, 0
	for _, event := range d.runnerEvents() {
		if event.what == "endless" {
			ran++
			sent, _ := strconv.Atoi(event.part)
			longest = max(longest, sent)
		}
	}
	d.record.line("%d answers without end, the longest was closed after %d bytes; requests for them: %s; sound requests: served %s", ran, longest, floods, result)
	d.record.line("peak memory %d MB of %d, killed %t", peak.Load()>>20, memoryMB, killedAt.Load() != 0)
	return killedAt.Load() != 0, nil
}

// limitMemory kills the machine's process once it exceeds the memory of the machine, and starts
// it again.
func (m *machine) limitMemory(peak, killedAt *atomic.Int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		m.d.mu.Lock()
		pid := m.system.Process.Pid
		m.d.mu.Unlock()
		used := residentBytes(pid)
		peak.Store(max(peak.Load(), used))
		if used <= memoryMB<<20 {
			continue
		}
		killedAt.Store(time.Now().UnixMilli())
		kill(m.system)
		time.Sleep(500 * time.Millisecond)
		if err := m.startSystem(false); err != nil {
			return
		}
	}
}

// residentBytes returns the resident anonymous memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

const (
	// lostRunners is the number of runners, of which one is lost: 0.125, at most 0.14 may be.
	lostRunners = 8
	// unframedEvery makes one of 20 answers of every second runner come without a length: 0.05 of
	// the answers of half of the runners, for unframedTime.
	unframedEvery = 20
	unframedTime  = 5 * time.Second
	// begun and nearlyDone are how long ago an answer without a length began when its runner is lost.
	begun, nearlyDone = 200 * time.Millisecond, 600 * time.Millisecond
	// maxShort is how many answers may look complete without being so.
	maxShort = 0
)

// lostRunner plays the loss of a runner together with its machine, while it sends answers without
// a length.
func lostRunner(d *deployment, trouble bool) (bool, error) {
	d.behindProxy, d.halfFramed = true, true
	if err := start(d, 1, lostRunners, ""); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var unframed atomic.Bool
	var list *answers
	done := make(chan struct{})
	go func() {
		list = traffic(ctx, d, 40, func(i int) request {
			r := sound(20)
			r.task.Unframed = i%unframedEvery == 0 && unframed.Load()
			return r
		})
		close(done)
	}()
	time.Sleep(5 * time.Second)
	unframed.Store(true)
	time.AfterFunc(unframedTime, func() { unframed.Store(false) })
	if trouble {
		m, err := d.sendsUnframed()
		if err != nil {
			return false, err
		}
		d.record.line("%s is shut down", m.name)
		if err := m.shutDown(); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	<-done
	short, lengthless, result := 0, share{}, share{}
	for _, a := range list.all() {
		result.count(a)
		if a.request.task.Unframed {
			lengthless.count(a)
		}
		if a.status == http.StatusOK && a.complete && a.events < a.request.task.Events {
			short++
			d.record.line("looks complete and is not: %s", a.describe())
		}
	}
	d.record.line("served %s of all, %s of those without a length; %d looked complete before their last event, at most %d may", result, lengthless, short, maxShort)
	return short > maxShort, nil
}

// sendsUnframed waits until a runner has sent the first events of an answer without a length, and
// returns its machine.
func (d *deployment) sendsUnframed() (*machine, error) {
	for end := time.Now().Add(unframedTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, event := range d.runnerEvents() {
			if age := time.Since(event.at); event.what != "unframed" || age < begun || age > nearlyDone {
				continue
			}
			for _, m := range d.sides {
				if event.runner == fmt.Sprintf("i-%s-%d", m.name, m.boots) {
					return m, nil
				}
			}
		}
	}
	return nil, errors.New("no runner sends an answer without a length")
}
