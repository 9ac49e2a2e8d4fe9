package configsync_test

import (
	"flag"
	"os"
	"testing"
)

// Defaults of the rapid flags. The fixed seed makes every run generate the same
// schedules; flags on the command line take precedence.
const (
	defaultSeed   = "2026"
	defaultChecks = "2000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": defaultChecks} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
