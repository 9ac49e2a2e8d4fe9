// Command zsgateway is the process on an entry VM of a deployment whose callers
// speak HTTP. The platform's settings file tells it where it is; its
// own settings are flags and environment variables.
package main

import (
	"os"

	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
)

func main() { os.Exit(program.Main(platform.Parse("zsgateway"), initialize)) }
