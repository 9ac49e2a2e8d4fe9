// Command zsagent is the process beside a model engine. The platform's settings
// file tells it where it is; its own settings are flags and environment variables.
package main

import (
	"context"
	"os"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/program"
	"github.com/zinniaseam/zinniaseam/settings"
)

func main() { os.Exit(program.Main(parse, initialize)) }

func parse(args []string) (*platform.Options, error) {
	var o platform.Options
	set := settings.New("zsagent", os.Stderr)
	o.Add(set)
	if err := set.Parse(args, os.Stdout); err != nil {
		return nil, err
	}
	return &o, nil
}

// process is the agent with its log.
type process struct {
	agent    *agent.Agent
	lines    *logging.Bounded
	options  *platform.Options
	settings *platform.Settings
	logger   *log.Logger
}

// Run implements program.Runner.
func (p *process) Run(ctx context.Context) error {
	return p.lines.During(func() error { return p.agent.Run(ctx) })
}

// Reload implements program.Reloader.
func (p *process) Reload() { p.options.Reload(p.settings, p.logger) }
