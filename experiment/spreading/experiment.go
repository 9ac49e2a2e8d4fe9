package spreading

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("spread", func() experiment.Run { return runSpread })
}

const (
	defaultRuns = 3
	// workers is the number of simulations that run in parallel.
	workers          = 2
	chunkOwnerPolicy = "chunk_owner"
	// heavyMachines is the fleet size from which baselines and cases with faults run
	// with one seed.
	heavyMachines = 1000
)

var (
	defaultWeights = Weights{SizeBytes: weightsBytes, ChunkBytes: chunkBytes}

	policies = []string{chunkOwnerPolicy, "chain", "rarest_first", "origin_only"}
	faults   = []Fault{FaultDeaths, FaultStalled, FaultCorrupt, FaultVersion, FaultZoneCut}

	flatShapes     = []Shape{{Machines: 8, Zones: 2, Regions: 1}, {Machines: 64, Zones: 4, Regions: 1}, {Machines: 256, Zones: 4, Regions: 1}, {Machines: 1300, Zones: 14, Regions: 1}}
	regionalShapes = []Shape{{Machines: 64, Zones: 14, Regions: 6}, {Machines: 256, Zones: 14, Regions: 6}, {Machines: 1300, Zones: 14, Regions: 6}}
	quickShapes    = []Shape{{Machines: 8, Zones: 2, Regions: 1}, {Machines: 64, Zones: 4, Regions: 1}, {Machines: 64, Zones: 14, Regions: 6}}
)

// Row is the run of a case with the median ratio, and the range over its seeds.
type Row struct {
	Outcome
	// Ratios holds the ratio of each seed.
	Ratios []float64 `json:"ratios"`
	// MaxOrigin, MaxRegionLink, MaxRegionIn and MaxUp are the maximums over the seeds.
	MaxOrigin     float64 `json:"maxOriginCopies"`
	MaxRegionLink float64 `json:"maxRegionLinkCopies"`
	MaxRegionIn   float64 `json:"maxRegionInCopies"`
	MaxUp         float64 `json:"maxUpCopiesOverSeeds"`
	AllFinished   bool    `json:"allFinished"`
}

// Result is the result of the spread measurement.
type Result struct {
	Seed    uint64        `json:"seed"`
	Runs    int           `json:"runs"`
	Weights Weights       `json:"weights"`
	Network Network       `json:"network"`
	Frame   time.Duration `json:"frameNanoseconds"`
	Rows    []Row         `json:"rows"`
	// Growth is the time until all machines store the weights at N=256, relative to
	// N=64, in one region.
	Growth float64  `json:"growth64To256,omitempty"`
	Missed []string `json:"missed"`
}

// plannedCase is a case and its number of seeds.
type plannedCase struct {
	Case
	runs int
}

// runSpread measures all policies, or only those in the arguments.
func runSpread(ctx context.Context, options experiment.Options) error {
	runs := options.Runs
	if runs <= 0 {
		runs = defaultRuns
	}
	planned := plannedCases(defaultWeights, runs, options.Quick)
	if len(options.Args) > 0 {
		planned = slices.DeleteFunc(planned, func(c plannedCase) bool { return !slices.Contains(options.Args, c.Policy) })
	}
	return measure(ctx, options, runs, planned)
}

// measure runs the cases and writes the table, the results and the plots. It returns
// an error if a target is missed.
func measure(ctx context.Context, options experiment.Options, runs int, planned []plannedCase) error {
	rows, err := runAll(ctx, planned, options.Seed)
	if err != nil {
		return err
	}
	result := Result{
		Seed: options.Seed, Runs: runs, Weights: defaultWeights, Rows: rows,
		Network: budgetNetwork(defaultWeights, timeFrame), Frame: timeFrame,
	}
	result.checkTargets()
	printTable(options.Out, result)
	if err := experiment.WriteResult(options, "spread", result); err != nil {
		return err
	}
	if err := drawPlots(options.OutDir, rows); err != nil {
		return err
	}
	if len(result.Missed) > 0 {
		return fmt.Errorf("spread: %d targets missed, the first: %s", len(result.Missed), result.Missed[0])
	}
	return nil
}

// plannedCases returns all policies with every shape and no fault, chunk_owner with
// every shape and fault, and the baselines with every fault at N=64 in one region.
func plannedCases(weights Weights, runs int, quick bool) []plannedCase {
	shapes := append(append([]Shape{}, flatShapes...), regionalShapes...)
	if quick {
		shapes, runs = quickShapes, 1
	}
	var planned []plannedCase
	add := func(policy string, fault Fault, shape Shape) {
		n := runs
		if shape.Machines >= heavyMachines && (policy != chunkOwnerPolicy || fault != FaultNone) {
			n = 1
		}
		planned = append(planned, plannedCase{Case: Case{Policy: policy, Fault: fault, Shape: shape, Weights: weights}, runs: n})
	}
	for _, shape := range shapes {
		for _, policy := range policies {
			add(policy, FaultNone, shape)
		}
	}
	for _, fault := range faults {
		for _, shape := range shapes {
			add(chunkOwnerPolicy, fault, shape)
		}
		for _, policy := range policies[1:] {
			if !quick {
				add(policy, fault, Shape{Machines: 64, Zones: 4, Regions: 1})
			}
		}
	}
	return planned
}

// runAll runs all seeds of all cases, workers at a time.
func runAll(ctx context.Context, planned []plannedCase, seed uint64) ([]Row, error) {
	outcomes := make([][]Outcome, len(planned))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	for i, c := range planned {
		outcomes[i] = make([]Outcome, c.runs)
		for n := range c.runs {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				seeded := c.Case
				seeded.Seed = seed + uint64(n)
				outcome, err := seeded.run()
				outcomes[i][n] = outcome
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(planned))
	for i := range planned {
		rows[i] = newRow(outcomes[i])
	}
	return rows, nil
}
