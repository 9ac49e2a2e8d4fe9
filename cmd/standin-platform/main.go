// Command standin-platform is a stand-in for the platform's key-value service and VM
// list, for tests and measurements.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/standin"
	"github.com/zinniaseam/zinniaseam/standin/platform"
)

const maxListLag = 10 * time.Minute

func main() {
	program := standin.NewProgram("standin-platform", "127.0.0.1:7100")
	var writes, reads int
	var lag time.Duration
	program.Settings.Int(&writes, "writes", platform.DefaultWritesPerSecond, 1, 1_000_000, "calls/s", "rate limit of writes")
	program.Settings.Int(&reads, "reads", platform.DefaultReadsPerSecond, 1, 1_000_000, "calls/s", "rate limit of reads")
	program.Settings.Duration(&lag, "list-lag", platform.DefaultListLag, time.Millisecond, maxListLag, "time until a change of the VM list is visible")
	os.Exit(program.Run(func() http.Handler {
		return platform.New(platform.Config{WritesPerSecond: float64(writes), ReadsPerSecond: float64(reads), ListLag: lag})
	}))
}
