package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

// quietCommand implements "zsload quiet": it checks that back ends receive no new
// work.
type quietCommand struct {
	out      io.Writer
	set      *settings.Set
	engines  string
	services string
	grace    time.Duration
	duration time.Duration
	busy     bool
	file     string
}

func newQuietCommand(out io.Writer) *quietCommand {
	c := &quietCommand{out: out, set: settings.New("zsload quiet", os.Stderr)}
	c.set.Text(&c.engines, "engines", "", "IP numbers and ports of engine stand-ins, joined by commas", false)
	c.set.Text(&c.services, "services", "", "IP numbers and ports of service stand-ins, joined by commas", false)
	c.set.Duration(&c.grace, "grace", 3*time.Second, 0, maxWatch, "time in which new work may still arrive")
	c.set.Duration(&c.duration, "duration", 3*time.Second, 100*time.Millisecond, maxWatch, "time in which none may")
	c.set.Bool(&c.busy, "busy", false, "ask for new work instead of none")
	c.set.Text(&c.file, "out", "", "file that takes the result as JSON", false)
	return c
}

func (c *quietCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "quiet",
		ShortUsage: "zsload quiet -engines 127.0.2.11:7300 -services 127.0.2.21:7400",
		ShortHelp:  "Checks that back ends get no new work after a grace period, or that they do.",
		FlagSet:    c.set.FlagSet(),
		Exec:       c.exec,
	}
}

func (c *quietCommand) exec(ctx context.Context, _ []string) error {
	if err := finishSettings(c.set, c.out); err != nil {
		return ignorePrinted(err)
	}
	watch := load.QuietWatch{
		Engines: splitList(c.engines), Services: splitList(c.services), Grace: c.grace, Duration: c.duration, Busy: c.busy,
	}
	report, err := watch.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "new work: %d in the %.1f s of grace, %d in the %.1f s after\n",
		report.InGrace, report.GraceSeconds, report.NewWork, report.Seconds)
	if err := writeJSON(c.file, report); err != nil {
		return err
	}
	return markViolation(report.Violations())
}
