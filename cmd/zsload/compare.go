package main

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

const (
	defaultCompareMix = "chat:briefing:north=1"
	maxSlice          = time.Minute
	maxLimit          = time.Minute
)

// compareCommand implements "zsload compare": it measures the latency that entries
// add to requests.
type compareCommand struct {
	out     io.Writer
	set     *settings.Set
	options loadOptions
	entries string
	engine  string
	// entryPIDs and endpointPIDs list the process IDs of the entry and endpoint
	// processes, separated by commas.
	entryPIDs    string
	endpointPIDs string
	slice        time.Duration
	limitP50     time.Duration
	limitP99     time.Duration
}

func newCompareCommand(out io.Writer) *compareCommand {
	c := &compareCommand{out: out, set: settings.New("zsload compare", os.Stderr)}
	c.options.register(c.set, defaultCompareMix)
	c.set.Text(&c.entries, "entry", "", "IP numbers and ports of the entries, joined by commas", true)
	c.set.Addr(&c.engine, "engine", "", "IP number and port of the engine that the entries lead to", true)
	c.set.Text(&c.entryPIDs, "entry-pid", "", "process numbers of the entries, whose processor time is counted", false)
	c.set.Text(&c.endpointPIDs, "endpoint-pid", "", "process numbers of the endpoint processes, whose processor time is counted", false)
	c.set.Duration(&c.slice, "slice", load.DefaultSlice, 100*time.Millisecond, maxSlice, "length of a turn of each side")
	c.set.Duration(&c.limitP50, "limit-p50", load.DefaultLimitP50, time.Microsecond, maxLimit, "most that the entries may add to the first token at p50")
	c.set.Duration(&c.limitP99, "limit-p99", load.DefaultLimitP99, time.Microsecond, maxLimit, "most that the entries may add to the first token at p99")
	return c
}

func (c *compareCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "zsload compare -entry 127.0.1.1:8000 -engine 127.0.1.11:7300 -rate 500 -duration 10s",
		ShortHelp:  "Sends the same load in turns through entries and straight to an engine.",
		FlagSet:    c.set.FlagSet(),
		Exec:       c.exec,
	}
}

func (c *compareCommand) exec(ctx context.Context, _ []string) error {
	if err := finishSettings(c.set, c.out); err != nil {
		return ignorePrinted(err)
	}
	config, err := c.options.config()
	if err != nil {
		return err
	}
	entryPIDs, err := parsePIDs(c.entryPIDs)
	if err != nil {
		return err
	}
	endpointPIDs, err := parsePIDs(c.endpointPIDs)
	if err != nil {
		return err
	}
	report, err := load.Compare(ctx, load.Comparison{
		Load: config, Entries: splitList(c.entries), Engine: c.engine, EntryPIDs: entryPIDs, EndpointPIDs: endpointPIDs,
		Slice: c.slice, LimitP50: c.limitP50, LimitP99: c.limitP99,
	})
	if err != nil {
		return err
	}
	if err := errors.Join(report.WriteTable(c.out), writeJSON(c.options.out, report)); err != nil {
		return err
	}
	return markViolation(report.Violations())
}
