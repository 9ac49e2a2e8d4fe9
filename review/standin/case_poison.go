package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	poisonPart    = "bad0bad0"
	poisonRunners = 6
	poisonGap     = 4 * time.Second
	// contactTime is contact-ms: a machine whose process was started is in touch that much later.
	contactTime = 3 * time.Second
	// crashDown is how long a runner that has crashed is away.
	crashDown = 1500 * time.Millisecond
	// restartDelay is how long the platform takes to start a killed process again.
	restartDelay = 500 * time.Millisecond
	// crashesOfRule is the number of crashes from which the rule counts, tolerated the number of
	// requests that may reach runners later than contactTime after them.
	crashesOfRule = 5
	tolerated     = 3
)

// systemProcesses are the gateways and agents of a deployment.
type systemProcesses struct {
	mu      sync.Mutex
	starts  []func() (*process, error)
	current []*process
}

func (s *systemProcesses) add(start func() (*process, error)) error {
	p, err := start()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts, s.current = append(s.starts, start), append(s.current, p)
	return nil
}

// killAll kills all processes at once and starts them again after restartDelay.
func (s *systemProcesses) killAll() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.current {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range s.current {
		<-p.exited
	}
	time.Sleep(restartDelay)
	for i, start := range s.starts {
		p, err := start()
		if err != nil {
			return err
		}
		s.current[i] = p
	}
	return nil
}

// startPoisoned starts gateways, and runners with their agents that crash on the part. shape are
// further arguments of the runners.
func (d *deployment) startPoisoned(shape ...string) (*systemProcesses, error) {
	const service = "huvo11a"
	d.putConfig(7, []map[string]any{route("r-brief", "/lepu270/", "streaming", service, 6000, 400, 2, true)},
		[]map[string]any{engineService(service, 16, 36)})
	system := &systemProcesses{}
	for i := range poisonRunners {
		machine := 11 + i
		config := runnerConfig{machine: machine, service: service, slots: 16, engine: true, version: 1,
			args: append([]string{"-pieces", fmt.Sprint(streamEvents), "-gap", "30ms", "-poison", poisonPart}, shape...)}
		id, err := d.startRunner(config)
		if err != nil {
			return nil, err
		}
		go d.keepRunning(id, config)
		if err := system.add(func() (*process, error) { return d.startAgent(machine, service) }); err != nil {
			return nil, err
		}
	}
	for machine := 1; machine <= gatewayCount; machine++ {
		if err := system.add(func() (*process, error) { return d.startGateway(machine) }); err != nil {
			return nil, err
		}
	}
	for machine := 1; machine <= gatewayCount; machine++ {
		if err := d.awaitReady(machine, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	return system, nil
}

// poison sends requests with a part on which every runner crashes, and kills all processes of
// the system after the fifth crash.
func poison(d *deployment, trouble bool) (bool, error) {
	system, err := d.startPoisoned()
	if err != nil {
		return false, err
	}
	consumers := d.newConsumers(gatewayCount)
	stop := make(chan struct{})
	var sound sync.WaitGroup
	sound.Add(1)
	served := 0
	go func() {
		defer sound.Done()
		var open sync.WaitGroup
		var mu sync.Mutex
		for i := 0; ; i++ {
			select {
			case <-stop:
				open.Wait()
				return
			case <-time.After(100 * time.Millisecond):
			}
			open.Add(1)
			go func() {
				defer open.Done()
				r := consumers[i%len(consumers)].send(streamCall("5c1e07a2:800," + newRequestID()[:8] + ":173"))
				if r.complete() {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}()
		}
	}()

	sent := 0
	sendPoison := func() {
		consumers[sent%len(consumers)].send(streamCall("5c1e07a2:800," + poisonPart + ":100," + newRequestID()[:8] + ":73"))
		sent++
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && d.crashCount() < crashesOfRule; time.Sleep(time.Second) {
		sendPoison()
	}
	if d.crashCount() < crashesOfRule {
		return false, fmt.Errorf("only %d crashes", d.crashCount())
	}
	counted := d.crashTime(crashesOfRule - 1).Add(contactTime)
	d.record.printf("the fifth crash has been; requests with the part count from %v later on", contactTime)
	time.Sleep(contactTime + time.Second)
	if trouble {
		d.record.printf("trouble: all processes of the system are killed")
		if err := system.killAll(); err != nil {
			return false, err
		}
		for machine := 1; machine <= gatewayCount; machine++ {
			if err := d.awaitReady(machine, 10*time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(contactTime + time.Second) // all machines are in touch from here on
	}
	from := time.Now()
	if from.Before(counted) {
		return false, fmt.Errorf("the fifth crash was too late")
	}
	before := d.crashCount()
	for range 8 {
		sendPoison()
		time.Sleep(poisonGap)
	}
	close(stop)
	sound.Wait()
	reached := d.crashCount() - before
	d.record.printf("result: %d crashes before, %d requests with the part reached runners later, sent by machines in touch; at most %d may", before, reached, tolerated)
	fmt.Printf("poison: %d crashes before, %d requests with the part reached runners later, %d permitted; %d sound streams served\n", before, reached, tolerated, served)
	return reached > tolerated, nil
}

func streamCall(parts string) call {
	return call{method: http.MethodPost, path: "/lepu270/2f", timeout: 6 * time.Second, body: []byte("prompt"), parts: parts}
}

// keepRunning starts a runner again some time after it has crashed. A runner that comes back
// has its weights loaded by the agent; here it has loaded them before it registers.
func (d *deployment) keepRunning(id string, config runnerConfig) {
	for {
		p := d.runnerProcess(id)
		<-p.exited
		if d.closing() {
			return
		}
		time.Sleep(crashDown)
		next, err := d.startRunner(config)
		if err != nil {
			d.record.printf("runner on machine %d does not come back: %v", config.machine, err)
			return
		}
		id = next
	}
}

func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashes)
}

func (d *deployment) crashTime(index int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes[index].at
}
