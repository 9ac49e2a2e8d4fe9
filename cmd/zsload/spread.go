package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

// maxWatch bounds the duration of the spread and quiet commands.
const maxWatch = time.Hour

// spreadCommand implements "zsload spread": it watches the spread of a version.
type spreadCommand struct {
	out     io.Writer
	set     *settings.Set
	engines string
	origin  string
	version string
	chunks  int
	timeout time.Duration
	file    string
}

func newSpreadCommand(out io.Writer) *spreadCommand {
	c := &spreadCommand{out: out, set: settings.New("zsload spread", os.Stderr)}
	c.set.Text(&c.engines, "engines", "", "IP numbers and ports of the engines, joined by commas", true)
	c.set.Addr(&c.origin, "origin", "", "IP number and port of the origin stand-in", true)
	c.set.Text(&c.version, "version", "", "version that every engine is to serve", true)
	c.set.Int(&c.chunks, "chunks", 0, 0, core.MaxManifestChunks, "chunks", "chunks of the version, for progress")
	c.set.Duration(&c.timeout, "timeout", time.Minute, time.Second, maxWatch, "time until the spread must have ended")
	c.set.Text(&c.file, "out", "", "file that takes the result as JSON", false)
	return c
}

func (c *spreadCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "spread",
		ShortUsage: "zsload spread -engines 127.0.1.11:7300,127.0.2.11:7300 -origin 127.0.1.100:7200 -version v1",
		ShortHelp:  "Follows the spread of a version: time to N replicas, origin bytes in copies.",
		FlagSet:    c.set.FlagSet(),
		Exec:       c.exec,
	}
}

func (c *spreadCommand) exec(ctx context.Context, _ []string) error {
	if err := finishSettings(c.set, c.out); err != nil {
		return ignorePrinted(err)
	}
	watch := load.SpreadWatch{
		Engines: splitList(c.engines), Origin: c.origin, Version: core.VersionID(c.version),
		Chunks: c.chunks, Timeout: c.timeout, Progress: c.out,
	}
	report, err := watch.Run(ctx)
	if err != nil {
		return err
	}
	if err := errors.Join(report.WriteTable(c.out), writeJSON(c.file, report)); err != nil {
		return err
	}
	return markViolation(report.Violations())
}

// markViolation wraps the error of violated guarantees in errViolation, which selects
// the exit code. It returns nil for nil.
func markViolation(violations error) error {
	if violations == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errViolation, violations)
}
