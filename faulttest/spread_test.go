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

// spreadN is the number of engines in the spread tests; CI uses the default.
var spreadN = flag.Int("spread-n", 8, "number of engines in the spread tests")

// spreadRate is the upload and the download rate of each VM. A low rate makes the
// protocol, not the CPU, the limit on a machine with few cores.
var spreadRate = flag.Int("spread-rate", 4, "upload and download rate of each VM in the spread tests, in MiB/s")

// spreadChunk is the chunk size; by default the weights have 256 chunks.
var spreadChunk = flag.Int("spread-chunk", 32, "chunk size in the spread tests, in KiB")

// Sizes for the spread tests. Fetching eight copies from the origin alone takes four
// times as long as the lower bound.
const (
	spreadBytes = 8 << 20
	// originShare and regionShare are the rates of the origin and of each link
	// between regions as multiples of a VM's rate. The origin sends four copies in
	// the time in which a VM sends two.
	originShare = 2
	regionShare = 2
	// spreadLimit is the time limit of one spread, with or without faults.
	spreadLimit = 60 * time.Second
	// Upper bounds on what the origin sends, in copies of the weights.
	originCopies       = 2.0
	originCopiesFaults = 4.0
	spreadPrompt       = "The same prompt for every engine."
	spreadTokens       = 8
)

// spreadFleet starts engines without weights in two zones, and a slow origin.
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

// slowOrigin restarts the origin of the cluster with originShare times the spread
// rate.
func (c *cluster) slowOrigin() {
	c.t.Helper()
	origin := c.procs[len(c.procs)-1]
	origin.kill()
	origin.args = []string{"standin-origin", "-listen", c.origin[7:], "-rate", fmt.Sprint(originShare * *spreadRate << 20)}
	origin.run()
	c.waitHTTP(c.origin + "/admin/stats")
}

// addSpreadEngine starts an endpoint VM whose endpoint process has rate limits.
func (c *cluster) addSpreadEngine(zone core.ZoneID, extra ...string) *endpointVM {
	e := c.newEndpoint(zone, portEngine)
	e.vm.Pool = "main"
	e.backend = c.start(string(e.vm.ID)+"-engine", "standin-engine", "-listen", e.url[7:], "-load-time", "20ms", "-warm")
	args := append(c.commonFlags(&e.vm), "-pool", "main", "-engine-url", e.url, "-store-url", c.originURL(zone),
		"-origin-region", string(c.originRegion()), "-seeds", c.seeds(),
		"-upload-rate", fmt.Sprint(*spreadRate), "-download-rate", fmt.Sprint(*spreadRate), "-region-rate", fmt.Sprint(regionShare**spreadRate<<10))
	e.proc = c.start(string(e.vm.ID), "zsendpoint", append(args, extra...)...)
	c.vms = append(c.vms, e.vm)
	c.engines = append(c.engines, e)
	return e
}

// addSpreadVersion generates weights and registers them with the origin in small
// chunks.
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
	c.put(fmt.Sprintf("%s/admin/versions/%s?path=%s&chunk_bytes=%d", c.origin, version, path, *spreadChunk<<10), nil)
	return catalogue.Version{Name: version, Model: "assistant", Digest: core.DigestOf(data).String(), SizeBytes: spreadBytes}
}

// publishVersion publishes a pool with version. All engines may switch at once.
func (c *cluster) publishVersion(version catalogue.Version) {
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

// spreadBound returns the lower bound of the time in which n VMs can receive the
// weights.
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

// replicas records when each engine begins to serve a version.
type replicas struct {
	start time.Time
	// firstByte is when the origin sent the first byte of the version.
	firstByte time.Time
	at        map[core.VMID]time.Time
}

func newReplicas() *replicas { return &replicas{start: time.Now(), at: map[core.VMID]time.Time{}} }

// observe records the engines that serve version now, and reports whether all do.
func (r *replicas) observe(c *cluster, version core.VersionID) bool {
	c.t.Helper()
	if r.firstByte.IsZero() && c.copies(version) > 0 {
		r.firstByte = time.Now()
	}
	for _, e := range c.engines {
		if _, recorded := r.at[e.vm.ID]; recorded {
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
	c.eventually(spreadLimit, "replicas of "+string(version), func() bool { return r.observe(c, version) })
}

// summary formats the times to 1, N/4, N/2, 0.95 N and N replicas as ratios to the
// lower bound.
func (r *replicas) summary(n int) string {
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

// phases formats when the endpoint processes reached each phase of a version: the
// first, the median and the last of them, in seconds since start.
func (c *cluster) phases(version core.VersionID, start time.Time) string {
	c.t.Helper()
	kinds := []timeline.Kind{timeline.KindConfigActive, timeline.KindSpreadStart, timeline.KindSpreadComplete, timeline.KindLoadOrder, timeline.KindVersionSwitch}
	at := map[timeline.Kind][]time.Duration{}
	for _, e := range c.engines {
		seen := map[timeline.Kind]bool{}
		for _, event := range events(c.t, e.vm.PeerAddr, &peerpb.TimelineRequest{}) {
			ofVersion := event.Object == string(version) || event.Kind == timeline.KindConfigActive
			if ofVersion && !seen[event.Kind] && event.Stamp.Time().After(start) {
				seen[event.Kind] = true
				at[event.Kind] = append(at[event.Kind], event.Stamp.Time().Sub(start))
			}
		}
	}
	text := "first, median and last of the VMs, seconds since the publish:"
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

// cpuSeconds returns the CPU time used so far by the endpoint processes and engines.
func (c *cluster) cpuSeconds() float64 {
	total := 0.0
	for _, e := range c.engines {
		total += e.proc.cpuSeconds() + e.backend.cpuSeconds()
	}
	return total
}

// copies returns the bytes that the origin sent of a version, in units of its size.
func (c *cluster) copies(version core.VersionID) float64 {
	c.t.Helper()
	var stats struct {
		Copies map[core.VersionID]float64
	}
	c.getJSON(c.origin+"/admin/stats", &stats)
	return stats.Copies[version]
}

// requireIntendedWeights queries every engine directly and fails the test if an
// answer is not the one that exactly the intended weights give.
func (c *cluster) requireIntendedWeights(version catalogue.Version) {
	c.t.Helper()
	var digest core.Digest
	if err := digest.UnmarshalText([]byte(version.Digest)); err != nil {
		c.t.Fatal(err)
	}
	generator := answers.NewGenerator(version.Name, digest, answers.Prompt([]engine.Message{{Role: "user", Content: spreadPrompt}}))
	want := ""
	for offset := range spreadTokens {
		want += generator.Token(offset)
	}
	for _, e := range c.engines {
		a := chat(&entryVM{caller: e.url[7:]}, spreadPrompt, spreadTokens)
		if !a.complete || a.body != want {
			c.t.Errorf("engine of %s answers %q, want %q: %s", e.vm.ID, a.body, want, a.problem)
		}
	}
}

// Guards against a spread that fetches more than two copies from the origin.
func TestASpreadOfRealProcessesDrawsFewCopiesFromTheOrigin(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1 := c.addSpreadVersion("v1", 1)
	c.declareVMs()
	time.Sleep(2 * time.Second) // Time for every process to read the VM list.
	times, cpu := newReplicas(), c.cpuSeconds()
	c.publishVersion(v1)
	times.await(c, "v1")
	t.Log(times.summary(*spreadN))
	t.Logf("CPU time of all endpoint processes and engines: %.2f s", c.cpuSeconds()-cpu)
	t.Log(c.phases("v1", times.start))
	t.Logf("origin sent %.2f copies", c.copies("v1"))
	c.requireIntendedWeights(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopies))
}

// Guards against incomplete or corrupt weights when endpoint processes die during the
// spread and the origin sends corrupt chunks.
func TestASpreadEndsWholeWithDeadProcessesAndCorruptChunks(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1 := c.addSpreadVersion("v1", 1)
	c.declareVMs()
	c.setFaults(c.origin, map[string]any{"corruptRate": 0.01, "seed": 5})
	time.Sleep(2 * time.Second)
	times := newReplicas()
	c.publishVersion(v1)
	c.eventually(spreadLimit, "half a copy from the origin", func() bool { times.observe(c, "v1"); return c.copies("v1") >= 0.5 })
	dead := []*endpointVM{c.engines[0], c.engines[len(c.engines)/2+1]}
	for _, e := range dead {
		e.proc.kill()
	}
	killedAt := time.Now()
	c.eventually(spreadLimit, "replicas on the surviving VMs", func() bool {
		times.observe(c, "v1")
		return len(times.at) >= len(c.engines)-len(dead)
	})
	t.Logf("survivors: %d of %d replicas %s after the kills, %s after the publish", len(times.at), len(c.engines),
		time.Since(killedAt).Round(10*time.Millisecond), time.Since(times.start).Round(10*time.Millisecond))
	for _, e := range dead {
		e.proc.run()
	}
	times.await(c, "v1")
	t.Log("with two processes killed, restarted after the others were done: " + times.summary(*spreadN))
	var stats struct{ Corrupted int }
	c.getJSON(c.origin+"/admin/stats", &stats)
	t.Logf("origin sent %.2f copies, %d corrupt answers", c.copies("v1"), stats.Corrupted)
	c.requireIntendedWeights(v1)
	g.Expect(c.copies("v1")).To(BeNumerically("<=", originCopiesFaults))
}

// Guards against engines that end on the old version, or on mixed weights, when the
// target version changes during a spread.
func TestAVersionChangeInMidSpreadEndsOnTheNewVersion(t *testing.T) {
	g := NewWithT(t)
	c := spreadFleet(t)
	v1, v2 := c.addSpreadVersion("v1", 1), c.addSpreadVersion("v2", 2)
	c.declareVMs()
	time.Sleep(2 * time.Second)
	c.publishVersion(v1)
	c.eventually(spreadLimit, "half a copy from the origin", func() bool { return c.copies("v1") >= 0.5 })
	times := newReplicas()
	c.publishVersion(v2)
	times.await(c, "v2")
	t.Log("after a version change during the spread: " + times.summary(*spreadN))
	t.Logf("origin sent %.2f copies of the old and %.2f of the new version", c.copies("v1"), c.copies("v2"))
	c.requireIntendedWeights(v2)
	time.Sleep(time.Second)
	c.requireIntendedWeights(v2)
	g.Expect(c.copies("v2")).To(BeNumerically("<=", originCopies))
}
