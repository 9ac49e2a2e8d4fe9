package capacity

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/zinniaseam/zinniaseam/experiment"
)

func init() {
	experiment.Experiments.Register("capacity", func() experiment.Run { return Run })
}

// otherMeasurements are the measurements of other packages that the capacity page uses.
var otherMeasurements = []string{"claims", "capacity-spread"}

// Result is the machine-readable result.
type Result struct {
	Seed      uint64         `json:"seed"`
	Quick     bool           `json:"quick"`
	Knowledge []StateMessage `json:"knowledge"`
	Exchange  []Exchange     `json:"exchange"`
	Changes   []Change       `json:"changes"`
	Requests  []Requests     `json:"requests"`
	Messages  Messages       `json:"messages"`
	Decisions []Decision     `json:"decisions"`
	Documents []Document     `json:"documents"`
	Platform  PlatformCalls  `json:"platform"`
	Memory    []Memory       `json:"memory"`
	Slopes    []Slope        `json:"slopes"`
}

// Run measures all slopes, prints them and writes the result. Then it runs the
// measurements of other packages, unless the first argument is "own".
func Run(ctx context.Context, options experiment.Options) error {
	result := Result{Seed: options.Seed, Quick: options.Quick, Messages: measureMessages()}
	result.Knowledge = measureStateMessages(options.Quick)
	result.Decisions = measureDecisions(options)
	result.Memory = measureMemory(options.Quick)
	connection, err := memoryOfConnections(ctx)
	if err != nil {
		return err
	}
	result.Memory = append(result.Memory, connection)
	if result.Documents, err = measureDocuments(options.Quick); err != nil {
		return err
	}
	if result.Exchange, err = measureExchange(ctx, options.Quick); err != nil {
		return err
	}
	if result.Changes, err = measureChanges(ctx, options.Quick); err != nil {
		return err
	}
	if result.Requests, err = measureRequests(ctx, options); err != nil {
		return err
	}
	if result.Platform, err = measurePlatform(ctx, options.Quick); err != nil {
		return err
	}
	result.Slopes = slopes(&result)
	printTables(options.Out, &result)
	if err := experiment.WriteResult(options, "capacity", result); err != nil {
		return err
	}
	if len(options.Args) > 0 && options.Args[0] == "own" {
		return nil
	}
	return runOtherMeasurements(ctx, options)
}

// runOtherMeasurements runs the measurements of other packages that are registered in
// this program.
func runOtherMeasurements(ctx context.Context, options experiment.Options) error {
	options.OutDir = filepath.Join(options.OutDir, "capacity")
	options.Args = nil
	for _, id := range otherMeasurements {
		run, err := experiment.Experiments.New(id)
		if err != nil {
			fmt.Fprintf(options.Out, "\n%s: not part of this program, not run.\n", id)
			continue
		}
		fmt.Fprintf(options.Out, "\n%s\n", id)
		if err := run(ctx, options); err != nil {
			return fmt.Errorf("capacity: %s: %w", id, err)
		}
	}
	return nil
}
