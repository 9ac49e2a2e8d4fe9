package serving

import (
	"io"

	"github.com/zinniaseam/zinniaseam/experiment"
)

// Default options.
const (
	defaultRuns = 5
	quickRuns   = 2
	defaultSeed = 1
)

// withDefaults returns options with defaults for the unset fields.
func withDefaults(options experiment.Options) experiment.Options {
	if options.Runs <= 0 {
		options.Runs = defaultRuns
		if options.Quick {
			options.Runs = quickRuns
		}
	}
	if options.Seed == 0 {
		options.Seed = defaultSeed
	}
	if options.OutDir == "" {
		options.OutDir = "results"
	}
	if options.Out == nil {
		options.Out = io.Discard
	}
	return options
}
