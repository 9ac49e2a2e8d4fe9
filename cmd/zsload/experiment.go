package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaseam/zinniaseam/experiment"
	_ "github.com/zinniaseam/zinniaseam/experiment/capacity"
	_ "github.com/zinniaseam/zinniaseam/experiment/claiming"
	_ "github.com/zinniaseam/zinniaseam/experiment/placing"
	_ "github.com/zinniaseam/zinniaseam/experiment/serving"
	_ "github.com/zinniaseam/zinniaseam/experiment/spreading"
	"github.com/zinniaseam/zinniaseam/settings"
)

// experimentCommand implements "zsload experiment": it runs one registered
// experiment.
type experimentCommand struct {
	out io.Writer
}

func newExperimentCommand(out io.Writer) *experimentCommand { return &experimentCommand{out: out} }

func (c *experimentCommand) command() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "zsload experiment <id> [-seed N] [-runs N] [-quick] [-out DIR] [arguments]",
		ShortHelp:  "Runs a registered measurement.",
		FlagSet:    flag.NewFlagSet("zsload experiment", flag.ContinueOnError),
	}
	for _, id := range experiment.Experiments.IDs() {
		root.Subcommands = append(root.Subcommands, c.subcommand(id))
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return flag.ErrHelp
		}
		_, err := experiment.Experiments.New(args[0])
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return root
}

// subcommand returns the command of one experiment.
func (c *experimentCommand) subcommand(id string) *ffcli.Command {
	options := experiment.Options{Out: c.out}
	var seed int
	set := settings.New("zsload experiment "+id, os.Stderr)
	set.Int(&seed, "seed", 1, 0, 1<<62, "", "seed of all chance")
	set.Int(&options.Runs, "runs", 3, 1, 100_000, "runs", "repetitions")
	set.Bool(&options.Quick, "quick", false, "take a small version that ends within some seconds")
	set.Text(&options.OutDir, "out", "out", "directory of the result files", true)
	return &ffcli.Command{
		Name:       id,
		ShortUsage: "zsload experiment " + id + " [flags] [arguments]",
		FlagSet:    set.FlagSet(),
		Exec: func(ctx context.Context, args []string) error {
			if err := finishSettings(set, c.out); err != nil {
				return ignorePrinted(err)
			}
			options.Seed = uint64(seed)
			options.Args = args
			return c.run(ctx, id, options)
		},
	}
}

func (c *experimentCommand) run(ctx context.Context, id string, options experiment.Options) error {
	run, err := experiment.Experiments.New(id)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	fmt.Fprintf(c.out, "experiment %s, seed %d, runs %d, quick %t\n", id, options.Seed, options.Runs, options.Quick)
	if err := run(ctx, options); err != nil {
		return fmt.Errorf("%w: experiment %s: %w", errViolation, id, err)
	}
	return nil
}
