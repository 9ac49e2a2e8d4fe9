package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A stream that ends with its channel, at a gateway that is frozen while its runner crashes and
// starts again.
const (
	truncatedRounds = 3
	// longEvents events come longEventTime apart.
	longEvents    = 30
	longEventTime = 100 * time.Millisecond
	// streamsAtOnce streams, one of them without a length, are read at the gateway at one moment.
	// The gateway is frozen freezeAfter later for freezeTime. The runner of the stream without a
	// length crashes crashAfter after that moment and is back downTime later.
	streamsAtOnce = 20
	freezeAfter   = time.Second
	freezeTime    = 4 * time.Second
	crashAfter    = 1500 * time.Millisecond
	// roundTime is the time between two rounds. All runners have weights again by then.
	roundTime     = 14 * time.Second
	frozenGateway = 1
)

// gapConfig is the configuration of the pool with a longest pause of 600 ms between two events:
// consumers then wait for 4.8 s without an event.
func gapConfig(config string) string {
	return strings.Replace(config, `"gap-aim-ms":300`, `"gap-aim-ms":600`, 1)
}

func playTruncated(d *deployment) (broken bool, err error) {
	j, err := d.startPool()
	if err != nil {
		return false, err
	}
	j.eventTime, j.eventCount = longEventTime, longEvents
	for round := range truncatedRounds {
		time.Sleep(contactTime)
		started := time.Now()
		early, err := d.truncate(j)
		if err != nil {
			return broken, fmt.Errorf("round %d: %w", round+1, err)
		}
		broken = broken || early > 0
		time.Sleep(time.Until(started.Add(roundTime)))
	}
	return broken, nil
}

// truncate plays one round and returns how many answers ended early and looked complete.
func (d *deployment) truncate(j *journal) (early int, err error) {
	var mu sync.Mutex
	var done sync.WaitGroup
	j.mu.Lock()
	j.unframed = 1
	j.mu.Unlock()
	for number := range streamsAtOnce {
		id := fmt.Sprintf("%08x%08x", time.Now().Unix(), number)
		done.Go(func() {
			events, complete := d.readStream(id)
			if complete && events < longEvents {
				d.note("EARLY: the answer to %s looks complete and has %d of %d events", id, events, longEvents)
				mu.Lock()
				early++
				mu.Unlock()
			}
		})
	}
	if d.trouble {
		gateway := d.processes[fmt.Sprintf("front-%d", frozenGateway)]
		time.Sleep(freezeAfter)
		if err := gateway.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
		d.note("%s is frozen", gateway.name)
		time.Sleep(crashAfter - freezeAfter)
		victim := j.engines[0]
		for _, e := range j.engines {
			if e.streamCount() > victim.streamCount() {
				victim = e
			}
		}
		if victim.streamCount() == 0 {
			err = errors.New("no runner has a stream")
		}
		victim.crash("no request")
		time.Sleep(freezeAfter + freezeTime - crashAfter)
		d.note("%s wakes", gateway.name)
		if failed := gateway.command.Process.Signal(syscall.SIGCONT); failed != nil {
			err = failed
		}
	}
	done.Wait()
	return early, err
}

func (e *engine) streamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// readStream reads one stream at the gateway. complete is set if the answer is a success that has
// ended as its head says.
func (d *deployment) readStream(id string) (events int, complete bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.address(frozenGateway, portFront)+"/brief/x", strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	request.Host = "pool.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Timeout-Ms": "6000", "Authorization": "Bearer key1", "X-Model": model, wire["tokens"]: "650,60",
		"X-Prompt-Prefix": "5c1e07a2:400,91bd3f01:150," + id[8:] + ":40",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.note("%s no answer: %v", id, err)
		return 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	events = strings.Count(string(body), "id: ")
	d.note("%s answered %d by %s, seal %q, %d events, error %v", id, response.StatusCode, response.Header.Get("X-Instance-Id"), response.Header.Get(wire["seal"]), events, err)
	return events, err == nil && response.StatusCode == http.StatusOK
}
