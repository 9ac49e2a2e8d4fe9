package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/settings"
)

// tool is the root of the command tree.
type tool struct {
	load       *loadCommand
	compare    *compareCommand
	experiment *experimentCommand
	spread     *spreadCommand
	quiet      *quietCommand
	verdict    *verdictCommand
}

func (t *tool) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "zsload",
		ShortUsage: "zsload <load|compare|spread|quiet|verdict|experiment> [flags]",
		ShortHelp:  "Drives load against entries and runs the registered measurements.",
		FlagSet:    flag.NewFlagSet("zsload", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			t.load.command(), t.compare.command(), t.spread.command(), t.quiet.command(), t.verdict.command(),
			t.experiment.command(),
		},
	}
}

// finishSettings applies the environment and validates the settings of a subcommand
// whose flags are parsed already.
func finishSettings(set *settings.Set, out io.Writer) error {
	err := set.Parse(nil, out)
	if err == nil || errors.Is(err, settings.ErrPrinted) {
		return err
	}
	return fmt.Errorf("%w:\n%w", errUsage, err)
}

const resultFileMode = 0o644

// writeJSON writes result to path as indented JSON. It does nothing if path is
// empty.
func writeJSON(path string, result any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), resultFileMode); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func parsePIDs(text string) ([]int, error) {
	var pids []int
	for _, item := range splitList(text) {
		pid, err := strconv.Atoi(item)
		if err != nil || pid <= 0 {
			return nil, fmt.Errorf("%w: entry-pid %q: want process numbers", errUsage, item)
		}
		pids = append(pids, pid)
	}
	return pids, nil
}

func parseExpect(text string) (map[core.VersionID]core.Digest, error) {
	expect := map[core.VersionID]core.Digest{}
	for _, item := range splitList(text) {
		version, digestText, _ := strings.Cut(item, "=")
		var digest core.Digest
		if err := digest.UnmarshalText([]byte(digestText)); err != nil {
			return nil, fmt.Errorf("%w: expect %q: want version=digest: %w", errUsage, item, err)
		}
		expect[core.VersionID(version)] = digest
	}
	return expect, nil
}
