// Package program starts a process from its settings and shuts it down on a signal.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zinniaseam/zinniaseam/settings"
)

// Exit codes of the programs.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Runner is a process that runs until ctx is done and then shuts down gracefully.
type Runner interface {
	Run(ctx context.Context) error
}

// Reloader is implemented by processes that handle SIGHUP.
type Reloader interface {
	// Reload reads the settings again and logs the result.
	Reload()
}

// reloadOnHangups calls Reload on each hangup.
func reloadOnHangups(r Reloader, hangups <-chan os.Signal) {
	for range hangups {
		r.Reload()
	}
}

// Main parses the settings, builds the process and runs it until SIGTERM or
// SIGINT. It returns the exit code: 0 after a graceful shutdown, 1 after a
// failure, 2 for invalid settings.
//
// A signal that arrives while the process is being built is handled once it is built.
// SIGHUP ends a process whose type R is not a Reloader.
func Main[O any, R Runner](parse func(args []string) (O, error), build func(options O, start time.Time) (R, error)) int {
	// Without a handler, a signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	var unbuilt R
	if _, reloads := any(unbuilt).(Reloader); reloads {
		signal.Notify(hangups, syscall.SIGHUP)
	}
	options, err := parse(os.Args[1:])
	if errors.Is(err, settings.ErrPrinted) || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	process, err := build(options, time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if r, reloads := any(process).(Reloader); reloads {
		go reloadOnHangups(r, hangups)
	}
	if err := process.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
