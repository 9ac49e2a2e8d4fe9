package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

// verdictCommand implements "zsload verdict": it combines result files into one
// table.
type verdictCommand struct {
	out     io.Writer
	set     *settings.Set
	spreads string
	stages  string
	noGaps  string
	noCuts  string
	quiet   string
	engines string
}

func newVerdictCommand(out io.Writer) *verdictCommand {
	c := &verdictCommand{out: out, set: settings.New("zsload verdict", os.Stderr)}
	c.set.Text(&c.spreads, "spreads", "", "result files of zsload spread, joined by commas", false)
	c.set.Text(&c.stages, "loads", "", "result files of zsload load as name=file, joined by commas", false)
	c.set.Text(&c.noGaps, "no-gaps", "", "names of the loads in which a gap breaks a promise, joined by commas", false)
	c.set.Text(&c.noCuts, "no-cuts", "", "names of the loads in which a cut request breaks a promise, joined by commas", false)
	c.set.Text(&c.quiet, "quiet", "", "result file of zsload quiet", false)
	c.set.Text(&c.engines, "engines", "", "IP numbers and ports of engine stand-ins whose counts are checked, joined by commas", false)
	return c
}

func (c *verdictCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "verdict",
		ShortUsage: "zsload verdict -spreads v1.json -loads before=a.json,move=b.json -no-gaps move -quiet q.json",
		ShortHelp:  "Joins result files into one table; exit code 3 when a promise broke.",
		FlagSet:    c.set.FlagSet(),
		Exec:       c.exec,
	}
}

func (c *verdictCommand) exec(ctx context.Context, _ []string) error {
	if err := finishSettings(c.set, c.out); err != nil {
		return ignorePrinted(err)
	}
	var verdict load.Verdict
	for _, path := range splitList(c.spreads) {
		var spread load.SpreadReport
		if err := readJSON(path, &spread); err != nil {
			return err
		}
		verdict.Spreads = append(verdict.Spreads, &spread)
	}
	noGaps, noCuts := splitList(c.noGaps), splitList(c.noCuts)
	for _, item := range splitList(c.stages) {
		name, path, _ := strings.Cut(item, "=")
		var result loadResult
		if err := readJSON(path, &result); err != nil {
			return err
		}
		stage := load.Stage{Name: name, Report: result.Report, Audit: result.Audit}
		stage.NoGaps = slices.Contains(noGaps, name)
		stage.NoCuts = slices.Contains(noCuts, name)
		verdict.Stages = append(verdict.Stages, stage)
	}
	if c.quiet != "" {
		verdict.Quiet = &load.QuietReport{}
		if err := readJSON(c.quiet, verdict.Quiet); err != nil {
			return err
		}
	}
	if c.engines != "" {
		engines, err := load.ReadEngines(ctx, splitList(c.engines))
		if err != nil {
			return err
		}
		verdict.Engines = engines
	}
	if err := verdict.WriteTable(c.out); err != nil {
		return err
	}
	return markViolation(verdict.Violations())
}

func readJSON(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("result %s: %w", path, err)
	}
	return nil
}
