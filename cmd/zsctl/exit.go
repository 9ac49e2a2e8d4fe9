package main

import (
	"errors"

	"github.com/zinniaseam/zinniaseam/configsync"
)

// Exit codes; the package comment documents them.
const (
	exitDone        = 0
	exitRejected    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitUnknown     = 4
	exitProvisional = 5
)

// exitHelp is the section of the usage text about exit codes.
const exitHelp = `EXIT CODES
  0  done
  1  refused: invalid, lost a race, wrong key; nothing changed
  2  wrong usage, or a file that cannot be read
  3  no entry could be reached, or the platform is down; nothing changed
  4  not known yet: ask again with the same file and base
  5  provisional: a volatile zone order was given, it is not accepted`

// exitError is an error with the process exit code to use for it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func failed(code int, err error) error { return &exitError{code: code, err: err} }

func usageError(text string) error { return failed(exitUsage, errors.New(text)) }

func exitCode(err error) int {
	var typed *exitError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &typed):
		return typed.code
	default:
		return exitRejected
	}
}

// outcomeError returns nil for an accepted outcome, and otherwise an error with the
// matching exit code.
func outcomeError(outcome configsync.Outcome) error {
	err := errors.New(string(outcome.Kind) + ": " + outcome.Detail)
	switch {
	case outcome.Kind == configsync.Accepted:
		return nil
	case outcome.Kind == configsync.Unknown:
		return failed(exitUnknown, err)
	case outcome.Cause == configsync.CausePlatformDown || outcome.Cause == configsync.CauseNotReady:
		return failed(exitUnreachable, err)
	default:
		return failed(exitRejected, err)
	}
}
