// Command standin-service is a stand-in for a plain service, for tests and
// measurements. It executes every call and keeps a ledger of executions by key.
package main

import (
	"net/http"
	"os"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
	"github.com/zinniaseam/zinniaseam/standin/service"
)

func main() {
	program := standin.NewProgram("standin-service", "127.0.0.1:7400")
	var name string
	var delayMS int
	program.Settings.Text(&name, "name", "dispatch-desk", "name of the service, repeated in its answers", true)
	program.Settings.Int(&delayMS, "delay", 0, 0, 60_000, "ms", "time that every call takes")
	os.Exit(program.Run(func() http.Handler {
		return service.New(service.Config{Name: core.ServiceID(name), Faults: service.Faults{DelayMS: int64(delayMS)}})
	}))
}
