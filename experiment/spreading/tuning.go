package spreading

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/spread"
)

func init() {
	experiment.Experiments.Register("spread-tuning", func() experiment.Run { return runTuning })
}

// tuningShape is the fleet for which the parameters are compared.
var tuningShape = Shape{Machines: 256, Zones: 4, Regions: 1}

// TuningResult is the result of the spread-tuning measurement.
type TuningResult struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
}

// runTuning measures chunk_owner with different chunk sizes, tree arities and windows.
// It varies one parameter at a time; the others keep their defaults.
func runTuning(ctx context.Context, options experiment.Options) error {
	shape, runs := tuningShape, 1
	if options.Quick {
		shape = Shape{Machines: 32, Zones: 4, Regions: 1}
	}
	var planned []plannedCase
	add := func(chunk int64, tuning spread.Tuning) {
		weights := Weights{SizeBytes: weightsBytes, ChunkBytes: chunk}
		planned = append(planned, plannedCase{Case: Case{Policy: chunkOwnerPolicy, Fault: FaultNone, Shape: shape, Weights: weights, Tuning: &tuning}, runs: runs})
	}
	for _, chunk := range []int64{512 << 10, 1 << 20, 2 << 20, 4 << 20, 8 << 20} {
		add(chunk, spread.DefaultTuning)
	}
	for _, arity := range []int{2, 3, 4, 6, 8} {
		tuning := spread.DefaultTuning
		tuning.Arity = arity
		add(chunkBytes, tuning)
	}
	for _, window := range []int{8, 16, 32, 48, 64, 96} {
		tuning := spread.DefaultTuning
		tuning.PeerWindow = window
		add(chunkBytes, tuning)
	}
	for _, window := range []int{1, 2, 4} {
		tuning := spread.DefaultTuning
		tuning.OriginWindow = window
		add(chunkBytes, tuning)
	}
	rows, err := runAll(ctx, planned, options.Seed)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(options.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(options.Out, "chunk_owner at N=%d, %d zones, no faults, seed %d.\n", shape.Machines, shape.Zones, options.Seed)
	fmt.Fprintln(table, "chunk KiB\tarity\torigin window\tpeer window\tt(1)\tt(N)\tratio\torigin\tup max\t")
	for _, row := range rows {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.2f\t%.2f\t\n", row.Weights.ChunkBytes>>10, row.Tuning.Arity,
			row.Tuning.OriginWindow, row.Tuning.PeerWindow, row.First, row.All, row.Ratio, row.OriginCopies, row.MaxUpCopies)
	}
	table.Flush()
	return experiment.WriteResult(options, "spread-tuning", TuningResult{Seed: options.Seed, Rows: rows})
}
