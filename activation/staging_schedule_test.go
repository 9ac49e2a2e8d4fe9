package activation

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// stagingTraces is the number of failed schedules whose traces are printed, and
	// stagingTraceLines how many lines of each.
	stagingTraces     = 3
	stagingTraceLines = 70
	// stagingSearchCount is the number of seeds among which one must fail without a
	// protection.
	stagingSearchCount = 20_000
)

// stagingSeeds returns the seeds to run: ACTIVATION_STAGING_SEED runs a single one,
// ACTIVATION_STAGING_SCHEDULES overrides their number.
func stagingSeeds() (first, count uint64) {
	if seed, err := strconv.ParseUint(os.Getenv("ACTIVATION_STAGING_SEED"), 10, 64); err == nil {
		return seed, 1
	}
	if n, err := strconv.ParseUint(os.Getenv("ACTIVATION_STAGING_SCHEDULES"), 10, 64); err == nil {
		return 0, n
	}
	return 0, stagingScheduleCount
}

// stagingTrace returns the trace of a schedule up to its violation.
func stagingTrace(seed uint64) string {
	s := newStagingSimulation(seed, stagingFlaws{})
	s.traced = true
	s.run()
	lines := s.trace
	if i := slices.IndexFunc(lines, func(line string) bool { return strings.Contains(line, "VIOLATION") }); i >= 0 {
		lines = lines[:i+1]
	}
	return strings.Join(lines[max(0, len(lines)-stagingTraceLines):], "\n")
}

// A staged chunk may be missing, spoilt or of another version when the engine takes it.
func TestNoScheduleLoadsStagedChunksThatAreNotTheOrderedVersion(t *testing.T) {
	first, count := stagingSeeds()
	accepted, failed, slowest := 0, 0, time.Duration(0)
	for seed := first; seed < first+count; seed++ {
		s := newStagingSimulation(seed, stagingFlaws{})
		began := s.clock.Now()
		if violation := s.run(); violation != "" {
			failed++
			t.Errorf("seed %d: %s", seed, violation)
			if failed <= stagingTraces {
				t.Log(stagingTrace(seed))
			}
			continue
		}
		accepted += s.engine.accepted
		slowest = max(slowest, s.clock.Now().Sub(began)-stagingFaultTime)
	}
	t.Logf("%d schedules from seed %d, %d failed, %d orders accepted, newest version loaded at most %s after the faults", count, first, failed, accepted, slowest)
}

// A schedule that leaves out a protection must fail for some seed, or the schedules would
// not test it. ACTIVATION_STAGING_SCHEDULES counts the failures among that many seeds.
func TestEachProtectionOfTheStagedChunksIsNeeded(t *testing.T) {
	_, count := stagingSeeds()
	counted := os.Getenv("ACTIVATION_STAGING_SCHEDULES") != ""
	if !counted {
		count = stagingSearchCount
	}
	for name, flaws := range map[string]stagingFlaws{
		"verifications of any age":                  {noVerifiedAge: true},
		"lost orders are over at once":              {noOrderSettle: true},
		"changes while the staging is in use":       {ignoresUse: true},
		"earlier staging of a version chosen again": {keepsOnDeclared: true},
		"expired orders are sent":                   {sendsExpired: true},
		"verification during writes":                {readsDuringWrites: true},
		"abandoned writes":                          {abandonsWrites: true},
		"verifications dated from their end":        {datesFromEnd: true},
	} {
		t.Run(name, func(t *testing.T) {
			var seeds []uint64
			for seed := uint64(0); seed < count && (counted || len(seeds) == 0); seed++ {
				// A schedule that fails with all protections shows nothing.
				if newStagingSimulation(seed, flaws).run() != "" && newStagingSimulation(seed, stagingFlaws{}).run() == "" {
					seeds = append(seeds, seed)
				}
			}
			t.Logf("%d of at most %d schedules fail, the first with seed %v", len(seeds), count, seeds[:min(1, len(seeds))])
			NewWithT(t).Expect(seeds).NotTo(BeEmpty())
		})
	}
}
