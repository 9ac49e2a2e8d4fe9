package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Environment variables read by zsctl.
const (
	envEntries = "ZINNIASEAM_ENTRIES"
	envKey     = "ZINNIASEAM_OPERATOR_KEY"
	envCA      = "ZINNIASEAM_CA"
)

// app holds the flags and streams that the commands share.
type app struct {
	getenv      func(string) string
	in          io.Reader
	out, errOut io.Writer

	entries  string
	ca       string
	format   string
	file     string
	base     int64
	volatile bool
	watch    bool
	interval time.Duration
	filter   timelineFlags
}

type timelineFlags struct {
	request, object, zone, kind, since string
	limit                              int
}

func (a *app) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(a.errOut)
	set.StringVar(&a.entries, "entries", a.getenv(envEntries), "operators' addresses of entries, separated by commas, tried in turn ("+envEntries+")")
	set.StringVar(&a.ca, "ca", a.getenv(envCA), "PEM file with the authorities of the entries' certificates; entries are called with TLS when it is given ("+envCA+")")
	set.StringVar(&a.format, "o", "table", "output: table or json")
	return set
}

func (a *app) fileFlags(name string) *flag.FlagSet {
	set := a.flags(name)
	set.StringVar(&a.file, "f", "", "file in YAML or JSON; - reads standard input")
	return set
}

// command builds a command that checks the output format before it runs.
func (a *app) command(set *flag.FlagSet, usage, short, examples string, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: set.Name(), ShortUsage: "zsctl " + usage, ShortHelp: short, FlagSet: set,
		LongHelp: short + "\n\nEXAMPLES\n" + examples + "\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if a.format != "table" && a.format != "json" {
				return usageError("-o: want table or json")
			}
			return exec(ctx, args)
		},
	}
}

func (a *app) rootCommand() *ffcli.Command {
	root := &ffcli.Command{
		Name: "zsctl", ShortUsage: "zsctl <command> [flags]", FlagSet: flag.NewFlagSet("zsctl", flag.ContinueOnError),
		LongHelp: "Drives a zinniaseam deployment.\n\n" + exitHelp,
		Exec:     func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet.SetOutput(a.errOut)
	root.Subcommands = []*ffcli.Command{
		a.validateCommand(), a.diffCommand(), a.applyCommand(), a.getCommand(), a.zoneCommand(),
		a.statusCommand(), a.timelineCommand(), a.completionCommand(root),
	}
	return root
}

func (a *app) validateCommand() *ffcli.Command {
	return a.command(a.fileFlags("validate"), "validate -f FILE", "Check a file without any entry and name every problem.",
		"  zsctl validate -f operators.yaml\n  zsctl validate -f - < operators.json", a.validate)
}

func (a *app) diffCommand() *ffcli.Command {
	return a.command(a.fileFlags("diff"), "diff -f FILE", "Show what a file would change.",
		"  zsctl diff -f operators.yaml", a.diff)
}

func (a *app) applyCommand() *ffcli.Command {
	set := a.fileFlags("apply")
	set.Int64Var(&a.base, "base", -1, "revision that the file was made from; -1 takes the one in force")
	return a.command(set, "apply -f FILE [-base N]", "Publish a file, all of it or nothing.",
		"  zsctl apply -f operators.yaml\n  zsctl apply -f operators.yaml -base 41", a.apply)
}

func (a *app) getCommand() *ffcli.Command {
	return a.command(a.flags("get"), "get", "Print the configuration in force as YAML.",
		"  zsctl get > operators.yaml\n  zsctl get -o json", a.get)
}

func (a *app) zoneCommand() *ffcli.Command {
	zone := &ffcli.Command{
		Name: "zone", ShortUsage: "zsctl zone out|in [-volatile] ZONE", ShortHelp: "Take an availability zone out of service or bring it back.",
		FlagSet: flag.NewFlagSet("zone", flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
	zone.FlagSet.SetOutput(a.errOut)
	for _, state := range []string{"out", "in"} {
		set := a.flags(state)
		set.BoolVar(&a.volatile, "volatile", false, "while the platform is down, give a provisional order to the processes that can be reached")
		command := a.command(set, "zone "+state+" [-volatile] ZONE", "Set the availability zone "+state+".",
			"  zsctl zone "+state+" kamloops-yard\n  zsctl zone "+state+" -volatile kamloops-yard",
			func(ctx context.Context, args []string) error { return a.setZone(ctx, state, args) })
		zone.Subcommands = append(zone.Subcommands, command)
	}
	return zone
}

func (a *app) statusCommand() *ffcli.Command {
	set := a.flags("status")
	set.BoolVar(&a.watch, "watch", false, "print again every -interval until interrupted")
	set.DurationVar(&a.interval, "interval", 2*time.Second, "time between two prints")
	return a.command(set, "status [-watch]", "Show zones, processes, endpoints and spreads.",
		"  zsctl status\n  zsctl status -watch -interval 5s", a.status)
}

func (a *app) timelineCommand() *ffcli.Command {
	set := a.flags("timeline")
	set.StringVar(&a.filter.request, "request", "", "only events of this request")
	set.StringVar(&a.filter.object, "object", "", "only events about this object")
	set.StringVar(&a.filter.zone, "zone", "", "only events of this availability zone")
	set.StringVar(&a.filter.kind, "kind", "", "only events of this kind, such as zone or load_order")
	set.StringVar(&a.filter.since, "since", "", "only newer events: a duration such as 5m or a time such as 2026-01-02T15:04:05Z")
	set.IntVar(&a.filter.limit, "limit", 1000, "the newest so many events")
	return a.command(set, "timeline [flags]", "Show the merged time line of all processes.",
		"  zsctl timeline -since 5m\n  zsctl timeline -request 7c1e -o json", a.timeline)
}

func (a *app) completionCommand(root *ffcli.Command) *ffcli.Command {
	return a.command(a.flags("completion"), "completion", "Print a completion script for bash.",
		"  source <(zsctl completion)", func(context.Context, []string) error { return writeCompletion(a.out, root) })
}
