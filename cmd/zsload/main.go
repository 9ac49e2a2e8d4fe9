// Command zsload sends load to entries and runs the registered experiments.
//
// Exit codes: 0 done, 1 the run failed, 2 wrong settings, 3 a guarantee was
// violated.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	_ "net" // links the program against libc, like all programs of this repository
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitDone      = 0
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

// Sentinel errors that select the exit code.
var (
	errUsage     = errors.New("wrong settings")
	errViolation = errors.New("a promise broke")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	command := initialize(os.Stdout).command()
	err := command.Parse(args)
	if err == nil {
		err = command.Run(ctx)
	} else if !errors.Is(err, flag.ErrHelp) {
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	var noCommand ffcli.NoExecError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &noCommand):
		noCommand.Command.FlagSet.Usage()
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	switch {
	case errors.Is(err, errViolation):
		return exitViolation
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailed
}
