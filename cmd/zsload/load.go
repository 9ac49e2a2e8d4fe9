package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

const defaultLoadMix = "chat:briefing:north=4,chat:summary:interior=4,order:dispatch:north=1,lookup:summary:interior=1"

// loadCommand implements "zsload load": it sends load and verifies the answers.
type loadCommand struct {
	out     io.Writer
	set     *settings.Set
	options loadOptions
	entries string
	direct  bool
	balance bool
	ledgers string
}

func newLoadCommand(out io.Writer) *loadCommand {
	c := &loadCommand{out: out, set: settings.New("zsload load", os.Stderr)}
	c.options.register(c.set, defaultLoadMix)
	c.set.Text(&c.entries, "entries", "", "IP numbers and ports that take requests in turn, joined by commas", true)
	c.set.Bool(&c.direct, "direct", false, "the entries are engines or services themselves")
	c.set.Bool(&c.balance, "balance", false, "leave out entries whose readiness check fails, as the platform's balancer does")
	c.set.Text(&c.ledgers, "ledgers", "", "IP numbers and ports of service stand-ins whose ledgers are checked at the end", false)
	return c
}

func (c *loadCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "zsload load -entries 127.0.1.1:8000,127.0.2.1:8000 -rate 100 -duration 20s -out FILE",
		ShortHelp:  "Sends seeded open-loop load, checks every answer and reports what came back.",
		FlagSet:    c.set.FlagSet(),
		Exec:       c.exec,
	}
}

// loadResult is the JSON result of a run.
type loadResult struct {
	*load.Report
	Audit *load.Audit `json:"audit,omitempty"`
}

func (c *loadCommand) exec(ctx context.Context, _ []string) error {
	if err := finishSettings(c.set, c.out); err != nil {
		return ignorePrinted(err)
	}
	config, err := c.options.config()
	if err != nil {
		return err
	}
	config.Entries = splitList(c.entries)
	config.Direct = c.direct
	config.Balance = c.balance
	orders := load.NewOrderLog()
	config.OnRecord = orders.Add
	report, err := load.Run(ctx, config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	result := loadResult{Report: report}
	violations := report.Violations()
	if c.ledgers != "" {
		executions, err := load.FetchLedgers(context.WithoutCancel(ctx), splitList(c.ledgers))
		if err != nil {
			return err
		}
		result.Audit = orders.Audit(executions)
		violations = errors.Join(violations, result.Audit.Violations())
	}
	if err := errors.Join(report.WriteTable(c.out), c.writeAudit(result.Audit), writeJSON(c.options.out, result)); err != nil {
		return err
	}
	return markViolation(violations)
}

func (c *loadCommand) writeAudit(audit *load.Audit) error {
	if audit == nil {
		return nil
	}
	_, err := fmt.Fprintf(c.out, "orders %d: doubles %d, false not_run %d, not_run after unknown %d, answered but never run %d, unknown that ran %d, unknown that did not %d\n",
		audit.Orders, audit.Duplicates, audit.FalseNotRun, audit.NotRunAfterUnknown, audit.AnsweredNotRun, audit.UnknownRan, audit.UnknownNotRun)
	return err
}

// ignorePrinted returns nil if the settings were only printed, and err otherwise.
func ignorePrinted(err error) error {
	if errors.Is(err, settings.ErrPrinted) {
		return nil
	}
	return err
}
