package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// Poll and progress intervals of a watched spread.
const (
	spreadPoll     = 100 * time.Millisecond
	progressPeriod = 2 * time.Second
)

// SpreadWatch watches the spread of one version to a set of engines.
type SpreadWatch struct {
	// Engines and Origin are given as IP numbers and ports.
	Engines []string
	Origin  string
	Version core.VersionID
	// Chunks is the number of chunks of the version, for progress lines; zero if not
	// known.
	Chunks  int
	Timeout time.Duration
	// Progress receives progress lines.
	Progress io.Writer
}

// SpreadReport is the machine-readable result of a watched spread.
type SpreadReport struct {
	Version  core.VersionID `json:"version"`
	Engines  int            `json:"engines"`
	Replicas int            `json:"replicas"`
	// ToReplicas lists the times until given numbers of engines served the version.
	ToReplicas []ReplicaTime `json:"toReplicas"`
	// OriginCopies is OriginBytes as a multiple of the version's size.
	OriginCopies float64 `json:"originCopies"`
	OriginBytes  int64   `json:"originBytes"`
}

// ReplicaTime is the time until a number of replicas was reached.
type ReplicaTime struct {
	Replicas int     `json:"replicas"`
	Seconds  float64 `json:"seconds"`
}

// originStats is the part of the origin stand-in's statistics that is read.
type originStats struct {
	BytesServed map[core.VersionID]int64   `json:"bytesServed"`
	Copies      map[core.VersionID]float64 `json:"copies"`
}

// Run watches until every engine serves the version or the timeout expires.
func (s *SpreadWatch) Run(ctx context.Context) (*SpreadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	start := time.Now()
	report := &SpreadReport{Version: s.Version, Engines: len(s.Engines)}
	milestones := s.milestones()
	nextProgress := start
	for {
		replicas := s.replicas(ctx)
		if ctx.Err() != nil {
			// The timeout ended this poll: engines that were not asked would count as without the version.
			return report, s.readOrigin(context.WithoutCancel(ctx), report)
		}
		elapsed := time.Since(start)
		report.Replicas = replicas
		for len(milestones) > 0 && replicas >= milestones[0] {
			report.ToReplicas = append(report.ToReplicas, ReplicaTime{Replicas: milestones[0], Seconds: elapsed.Seconds()})
			milestones = milestones[1:]
		}
		if time.Now().After(nextProgress) || len(milestones) == 0 {
			s.printProgress(ctx, elapsed, replicas)
			nextProgress = time.Now().Add(progressPeriod)
		}
		if len(milestones) == 0 || !sleepUntil(ctx, time.Now().Add(spreadPoll), time.Now().Add(s.Timeout)) {
			return report, s.readOrigin(context.WithoutCancel(ctx), report)
		}
	}
}

// milestones returns the replica counts 1, N/4, N/2, 0.95 N and N, rounded up and
// without duplicates.
func (s *SpreadWatch) milestones() []int {
	n := len(s.Engines)
	var numbers []int
	for _, share := range []float64{0, 0.25, 0.5, 0.95, 1} {
		number := max(1, int(math.Ceil(share*float64(n))))
		if len(numbers) == 0 || number > numbers[len(numbers)-1] {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// replicas counts the engines that serve the version.
func (s *SpreadWatch) replicas(ctx context.Context) int {
	count := 0
	for _, address := range s.Engines {
		var status engine.Status
		if fetchJSON(ctx, address, "/control/status", &status) != nil {
			continue
		}
		if status.State == engine.StateReady && status.Version == s.Version {
			count++
		}
	}
	return count
}

func (s *SpreadWatch) printProgress(ctx context.Context, elapsed time.Duration, replicas int) {
	staged := 0
	for _, address := range s.Engines {
		var list engine.Staged
		if fetchJSON(ctx, address, "/control/staging/"+string(s.Version), &list) == nil {
			staged += len(list.Chunks)
		}
	}
	chunks := ""
	if s.Chunks > 0 {
		chunks = fmt.Sprintf(", %3.0f%% of all chunks staged", 100*float64(staged)/float64(s.Chunks*len(s.Engines)))
	}
	fmt.Fprintf(s.Progress, "  %5.1f s  %s: %d of %d engines%s\n", elapsed.Seconds(), s.Version, replicas, len(s.Engines), chunks)
}

func (s *SpreadWatch) readOrigin(ctx context.Context, report *SpreadReport) error {
	var stats originStats
	if err := fetchJSON(ctx, s.Origin, "/admin/stats", &stats); err != nil {
		return err
	}
	report.OriginBytes = stats.BytesServed[s.Version]
	report.OriginCopies = stats.Copies[s.Version]
	return nil
}

// MaxOriginCopies is the maximum number of copies of a version that may be fetched
// from the origin: its link has no capacity for more.
const MaxOriginCopies = 4

// Violations returns an error if the spread did not complete or fetched too much from
// the origin.
func (r *SpreadReport) Violations() error {
	if r.Replicas < r.Engines {
		return fmt.Errorf("promise broken: %s is on %d of %d engines", r.Version, r.Replicas, r.Engines)
	}
	if r.OriginCopies > MaxOriginCopies {
		return fmt.Errorf("promise broken: the origin sent %.2f copies of %s, want at most %d", r.OriginCopies, r.Version, MaxOriginCopies)
	}
	return nil
}

// WriteTable prints the report as a table.
func (r *SpreadReport) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, reached := range r.ToReplicas {
		fmt.Fprintf(w, "%s on %d of %d engines\t%.1f s\n", r.Version, reached.Replicas, r.Engines, reached.Seconds)
	}
	fmt.Fprintf(w, "origin bytes of %s\t%d\t%.2f copies\n", r.Version, r.OriginBytes, r.OriginCopies)
	return w.Flush()
}
