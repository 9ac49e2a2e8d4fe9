// Package program starts a process from its settings and ends it on a signal.
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

// Runner is a process that serves until ctx ends and then stops gracefully.
type Runner interface {
	Run(ctx context.Context) error
}

// Reloader is a process that takes note of changed settings on SIGHUP.
type Reloader interface {
	// Reload reads the settings again; it logs what it finds.
	Reload()
}

// followReloads calls Reload on each SIGHUP, which would otherwise end the process.
func followReloads(r Reloader) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			r.Reload()
		}
	}()
}

// Main reads the settings, builds the process and runs it until SIGTERM or
// SIGINT. It returns the exit code: 0 after a graceful shutdown, 1 after a
// failure, 2 for wrong settings.
func Main[O any, R Runner](parse func(args []string) (O, error), build func(options O, start time.Time) (R, error)) int {
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
		followReloads(r)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := process.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
