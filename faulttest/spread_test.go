package faulttest

import (
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	answers "github.com/zinniaseam/zinniaseam/load/answer"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// spreadN is how many engines the spread tests have; CI uses the default.
var spreadN = flag.Int("spread-n", 8, "engines of the spread tests")

// spreadRate is the rate of each machine up and down. A low one shows the
// protocol where processors are few.
var spreadRate = flag.Int("spread-rate", 4, "MiB/s of each machine, up and down, in the spread tests")

// spreadChunk is the size of a chunk; 256 chunks make up the weights by default.
var spreadChunk = flag.Int("spread-chunk", 32, "KiB of one chunk in the spread tests")

// Sizes of the spread tests. Eight copies from the origin alone take
// four times as long as the lower bound.
const (
	spreadBytes = 8 << 20
	// originShare and regionShare are the rates of the origin and of each link
	// between regions in units of a machine's. The origin carries four copies in
	// the time in which a machine carries two.
	originShare = 2
	regionShare = 2
	// spreadLimit bounds one spread, whatever the faults.
	spreadLimit = 60 * time.Second
	// Bounds on what the origin sends, in copies.
	originCopies       = 2.0
	originCopiesFaults = 4.0
	spreadPrompt       = "The same prompt for every engine."
	spreadTokens       = 8
)

// spreadFleet has engines without weights in two zones behind a slow origin.
func spreadFleet(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.slowOrigin()
	c.addEntry("a")
	c.addEntry("b")
	for i := range *spreadN {
		c.addSpreadEngine([]core.ZoneID{"a", "b"}[i%2])
	}
	return c
}

// slowOrigin replaces the origin of the cluster by one with the spread rate.
func (c *cluster) slowOrigin() {
	c.t.Helper()
	origin := c.procs[len(c.procs)-1]
	origin.kill()
	origin.args = []string{"standin-origin", "-listen", c.store[7:], "-rate", fmt.Sprint(originShare * *spreadRate << 20)}
	origin.run()
	c.waitHTTP(c.store + "/admin/stats")
}

// addSpreadEngine starts an endpoint VM whose endpoint process has bounded rates.
func (c *cluster) addSpreadEngine(zone core.ZoneID, extra ...string) *endpointVM {
	e := c.newEndpoint(zone, portEngine)
	e.vm.Pool = "main"
	e.backend = c.start(string(e.vm.ID)+"-engine", "standin-engine", "-listen", e.url[7:], "-load-time", "20ms", "-warm")
	args := append(c.common(&e.vm), "-pool", "main", "-engine-url", e.url, "-store-url", c.storeURL(zone),
		"-origin-region", string(c.originRegion()), "-seeds", c.seeds(),
		"-upload-rate", fmt.Sprint(*spreadRate), "-download-rate", fmt.Sprint(*spreadRate), "-region-rate", fmt.Sprint(regionShare**spreadRate<<10))
	e.proc = c.start(string(e.vm.ID), "zsendpoint", append(args, extra...)...)
	c.vms = append(c.vms, e.vm)
	c.engines = append(c.engines, e)
	return e
}

// addSpreadVersion makes weights in small chunks known to the origin.
func (c *cluster) addSpreadVersion(version core.VersionID, seed byte) catalogue.Version {
	c.t.Helper()
	data := make([]byte, spreadBytes)
	for i := range data {
		data[i] = byte(i>>16) ^ byte(i>>8) ^ byte(i) ^ seed
	}
	path := filepath.Join(c.dir, string(version)+".weights")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.put(fmt.Sprintf("%s/admin/versions/%s?path=%s&chunk_bytes=%d", c.store, version, path, *spreadChunk<<10), nil)
	return catalogue.Version{Name: version, Model: "assistant", Digest: core.DigestOf(data).String(), SizeBytes: spreadBytes}
}

// declare publishes a pool with version, all of whose engines may change at once.
func (c *cluster) declare(version catalogue.Version) {
	c.t.Helper()
	c.set = catalogue.Set{
		Zones:    []catalogue.Zone{{Name: "a", Region: regionOf("a")}, {Name: "b", Region: regionOf("b")}},
		Models:   []catalogue.Model{{Name: "assistant"}},
		Versions: append(c.set.Versions, version),
		Pools:    []catalogue.Pool{{Name: "main", Model: "assistant", Version: version.Name, Zones: []core.ZoneID{"a", "b"}, MaxSwitching: *spreadN}},
		Routes:   []catalogue.Route{{Name: "assistant", Model: "assistant", Pool: "main"}},
	}
	c.publish()
}

// spreadBound is the least time in which n machines can have the weights.
func spreadBound(n int) time.Duration {
	machine := float64(*spreadRate << 20)
	seconds := max(
		spreadBytes/machine,
		spreadBytes/(originShare*machine),
		spreadBytes/(regionShare*machine),
		float64(n)*spreadBytes/(originShare*machine+float64(n)*machine),
	)
	return time.Duration(seconds * float64(time.Second))
}

// replicas follows when engines serve a version.
type replicas struct {
	start time.Time
	// firstByte is when the origin first sent of the version.
	firstByte time.Time
	at        map[core.VMID]time.Time
}

func newReplicas() *replicas { return &replicas{start: time.Now(), at: map[core.VMID]time.Time{}} }

// look notes the engines that serve version now, and reports whether all do.
func (r *replicas) look(c *cluster, version core.VersionID) bool {
	c.t.Helper()
	if r.firstByte.IsZero() && c.copies(version) > 0 {
		r.firstByte = time.Now()
	}
	for _, e := range c.engines {
		if _, known := r.at[e.vm.ID]; known {
			continue
		}
		var status engine.Status
		c.getJSON(e.url+"/control/status", &status)
		if status.Version == version && status.State == engine.StateReady {
			r.at[e.vm.ID] = time.Now()
		}
	}
	return len(r.at) == len(c.engines)
}

// await waits until every engine serves version.
func (r *replicas) await(c *cluster, version core.VersionID) {
	c.t.Helper()
	c.eventually(spreadLimit, "replicas of "+string(version), func() bool { return r.look(c, version) })
}

// line tells the time to 1, N/4, N/2, 0.95 N and N replicas as ratios to the bound.
func (r *replicas) line(n int) string {
	var times []time.Duration
	for _, at := range r.at {
		times = append(times, at.Sub(r.start))
	}
	slices.Sort(times)
	bound := spreadBound(n).Seconds()
	text := fmt.Sprintf("N=%d, bound %.2f s; ratio of the time since the publish to", n, bound)
	for _, share := range []float64{0, 0.25, 0.5, 0.95, 1} {
		count := max(1, int(math.Ceil(share*float64(n))))
		text += fmt.Sprintf(" %d replicas %.2f,", count, times[count-1].Seconds()/bound)
	}
	last := times[len(times)-1] - r.firstByte.Sub(r.start)
	return text + fmt.Sprintf(" since the origin's first byte to all %.2f", last.Seconds()/bound)
}

// phases tells when the endpoint processes came how far with a version: the
// first, the middle and the last of them, in seconds since start.
func (c *cluster) phases(version core.VersionID, start time.Time) string {
	c.t.Helper()
	kinds := []timeline.Kind{timeline.KindConfigInForce, timeline.KindSpreadStart, timeline.KindSpreadComplete, timeline.KindLoadOrder, timeline.KindVersionSwitch}
	at := map[timeline.Kind][]time.Duration{}
	for _, e := range c.engines {
		seen := map[timeline.Kind]bool{}
		for _, event := range events(c.t, e.vm.PeerAddr, &peerpb.TimelineRequest{}) {
			ofVersion := event.Object == string(version) || event.Kind == timeline.KindConfigInForce
			if ofVersion && !seen[event.Kind] && event.Stamp.Time().After(start) {
				seen[event.Kind] = true
				at[event.Kind] = append(at[event.Kind], event.Stamp.Time().Sub(start))
			}
		}
	}
	text := "first, middle and last of the machines, seconds since the publish:"
	for _, kind := range kinds {
		times := at[kind]
		if len(times) == 0 {
			continue
		}
		slices.Sort(times)
		text += fmt.Sprintf(" %s %.2f %.2f %.2f,", kind, times[0].Seconds(), times[len(times)/2].Seconds(), times[len(times)-1].Seconds())
	}
	return strings.TrimSuffix(text, ",")
}

// cpuSeconds is the processor time of the endpoint processes and engines so far.
func (c *cluster) cpuSeconds() float64 {
	total := 0.0
	for _, e := range c.engines {
		total += e.proc.cpuSeconds() + e.backend.cpuSeconds()
	}
	return total
}

// copies returns what the origin sent of a version, in units of its size.
func (c *cluster) copies(version core.VersionID) float64 {
	c.t.Helper()
	var stats struct {
		Copies map[core.VersionID]float64
	}
	c.getJSON(c.store+"/admin/stats", &stats)
	return stats.Copies[version]
}

// needIntended asks every engine itself for the answer of exactly the intended weights.
func (c *cluster) needIntended(version catalogue.Version) {
	c.t.Helper()
	var whole core.Digest
	if err := whole.UnmarshalText([]byte(version.Digest)); err != nil {
		c.t.Fatal(err)
	}
	script := answers.NewGenerator(version.Name, whole, answers.Prompt([]engine.Message{{Role: "user", Content: spreadPrompt}}))
	want := ""
	for offset := range spreadTokens {
		want += script.Token(offset)
	}
	for _, e := range c.engines {
		a := chat(&entryVM{caller: e.url[7:]}, spreadPrompt, spreadTokens)
		if !a.whole || a.body != want {
			c.t.Errorf("engine of %s answers %q, want %q: %s", e.vm.ID, a.body, want, a.problem)
		}
	}
}

func TestASpreadOfRealProcessesDrawsFewCopiesFromTheOrigin(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1 := c.addSpreadVersion("v1", 1)
	c.declareVMs()
	time.Sleep(2 * time.Second) // every process knows the VM list
	times, cpu := newReplicas(), c.cpuSeconds()
	c.declare(v1)
	times.await(c, "v1")
	t.Log(times.line(*spreadN))
	t.Logf("processor time of all endpoint processes and engines: %.2f s", c.cpuSeconds()-cpu)
	t.Log(c.phases("v1", times.start))
	t.Logf("origin sent %.2f copies", c.copies("v1"))
	c.needIntended(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopies))
}

func TestASpreadEndsWholeWithDeadProcessesAndCorruptChunks(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1 := c.addSpreadVersion("v1", 1)
	c.declareVMs()
	c.faults(c.store, map[string]any{"corruptRate": 0.01, "seed": 5})
	time.Sleep(2 * time.Second)
	times := newReplicas()
	c.declare(v1)
	c.eventually(spreadLimit, "half a copy from the origin", func() bool { times.look(c, "v1"); return c.copies("v1") >= 0.5 })
	dead := []*endpointVM{c.engines[0], c.engines[len(c.engines)/2+1]}
	for _, e := range dead {
		e.proc.kill()
	}
	dying := time.Now()
	c.eventually(spreadLimit, "replicas of the living", func() bool {
		times.look(c, "v1")
		return len(times.at) >= len(c.engines)-len(dead)
	})
	t.Logf("living: %d of %d replicas %s after the deaths, %s after the publish", len(times.at), len(c.engines),
		time.Since(dying).Round(10*time.Millisecond), time.Since(times.start).Round(10*time.Millisecond))
	for _, e := range dead {
		e.proc.run()
	}
	times.await(c, "v1")
	t.Log("with two deaths, started again after the others were done: " + times.line(*spreadN))
	var stats struct{ Corrupted int }
	c.getJSON(c.store+"/admin/stats", &stats)
	t.Logf("origin sent %.2f copies, %d corrupt answers", c.copies("v1"), stats.Corrupted)
	c.needIntended(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopiesFaults))
}

func TestAVersionChangeInMidSpreadEndsOnTheNewVersion(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1, v2 := c.addSpreadVersion("v1", 1), c.addSpreadVersion("v2", 2)
	c.declareVMs()
	time.Sleep(2 * time.Second)
	c.declare(v1)
	c.eventually(spreadLimit, "half a copy from the origin", func() bool { return c.copies("v1") >= 0.5 })
	times := newReplicas()
	c.declare(v2)
	times.await(c, "v2")
	t.Log("after a change in mid-spread: " + times.line(*spreadN))
	t.Logf("origin sent %.2f copies of the old and %.2f of the new version", c.copies("v1"), c.copies("v2"))
	c.needIntended(v2)
	time.Sleep(time.Second)
	c.needIntended(v2)
	g.Expect(c.copies("v2")).To(BeNumerically("<=", originCopies))
}
