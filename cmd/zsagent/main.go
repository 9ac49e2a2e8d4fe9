// Command zsagent is the process beside a model engine. The platform's settings file tells it where it is; its
// own settings are flags and environment variables.
package main

import (
	"os"

	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
)

func main() { os.Exit(program.Main(platform.Parse("zsagent"), initialize)) }
