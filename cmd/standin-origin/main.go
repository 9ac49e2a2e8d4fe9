// Command standin-origin is a stand-in for the weight store and the origin of
// weights, for tests and measurements.
package main

import (
	"net/http"
	"os"

	"github.com/zinniaseam/zinniaseam/standin"
	"github.com/zinniaseam/zinniaseam/standin/origin"
)

func main() {
	program := standin.NewProgram("standin-origin", "127.0.0.1:7200")
	var bytesPerSecond, storeCalls int
	program.Settings.Int(&bytesPerSecond, "rate", origin.DefaultBytesPerSecond, 1<<10, 1<<40, "bytes/s", "rate of the origin's link over all clients")
	program.Settings.Int(&storeCalls, "store-calls", origin.DefaultStoreCallsPerSecond, 1, 1_000_000, "calls/s", "rate limit of manifest calls")
	os.Exit(program.Run(func() http.Handler {
		return origin.New(origin.Config{BytesPerSecond: bytesPerSecond, StoreCallsPerSecond: storeCalls})
	}))
}
