// Command zsagent runs on the VM of a model engine. It reads its location and the
// deployment's bounds from the platform's settings file; its own settings are
// flags and environment variables.
package main

import (
	"os"

	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
)

func main() { os.Exit(program.Main(platform.Parse("zsagent"), initialize)) }
