// Command zsctl is the operators' command line. It checks and publishes the
// configuration, takes availability zones out and in, and shows the status and
// the time line of the deployment.
//
// The operators' addresses of the entries come from -entries or
// ZINNIASEAM_ENTRIES and are tried in turn; the key comes from
// ZINNIASEAM_OPERATOR_KEY.
//
// Exit codes:
//
//	0  done
//	1  refused: invalid, lost a race, wrong key, nothing changed
//	2  wrong usage, or a file that cannot be read
//	3  no entry could be reached, or the platform is down; nothing changed
//	4  not known yet: ask again with the same file and base
//	5  provisional: a volatile zone order was given, it is not accepted
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	_ "net" // links the program against libc, like all programs of this repository
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Getenv, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns the exit code.
func run(ctx context.Context, args []string, getenv func(string) string, in io.Reader, out, errOut io.Writer) int {
	a := &app{getenv: getenv, in: in, out: out, errOut: errOut}
	root := a.rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		fmt.Fprintf(errOut, "zsctl: %v\n", err)
		return exitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage // a command was called without its subcommand; the usage text is printed already
	}
	if err != nil {
		fmt.Fprintf(errOut, "zsctl: %v\n", err)
	}
	return exitCode(err)
}
