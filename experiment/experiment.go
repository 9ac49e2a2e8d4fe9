// Package experiment holds the registry of the measurements that the load tool runs.
// Each measurement prints a table and writes machine-readable results.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/zinniaseam/zinniaseam/kernel"
)

// Options configures one run of a measurement.
type Options struct {
	// Seed is the seed of all random numbers. It is printed with the result.
	Seed uint64
	// Runs is the number of repetitions that medians are taken over.
	Runs int
	// Quick selects a small version that ends within seconds.
	Quick bool
	// OutDir is the folder for result files and plots. It is created if missing.
	OutDir string
	// Out is the destination of the table.
	Out io.Writer
	// Args are additional arguments of the measurement.
	Args []string
}

// Run performs a measurement. It returns an error if the measurement fails or misses a
// target.
type Run func(ctx context.Context, options Options) error

// Experiments is the registry of measurements.
var Experiments = kernel.NewRegistry[Run]("experiment")

const resultFileMode = 0o644

// WriteResult stores result as indented JSON in <OutDir>/<name>.json.
func WriteResult(options Options, name string, result any) error {
	if err := os.MkdirAll(options.OutDir, 0o755); err != nil {
		return fmt.Errorf("result %s: %w", name, err)
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("result %s: %w", name, err)
	}
	path := filepath.Join(options.OutDir, name+".json")
	if err := os.WriteFile(path, append(data, '\n'), resultFileMode); err != nil {
		return fmt.Errorf("result %s: %w", name, err)
	}
	return nil
}
