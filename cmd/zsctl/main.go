// Command zsctl is the operators' command line. It checks and publishes the
// configuration, takes availability zones out of service and back in, and shows the
// status and the timeline of the deployment.
//
// The entries' addresses for operators are set by -entries or ZINNIASEAM_ENTRIES and
// are tried in turn; the key is set by ZINNIASEAM_OPERATOR_KEY.
//
// Exit codes:
//
//	0  done
//	1  rejected: invalid input, a conflicting change or a wrong key; nothing changed
//	2  wrong usage, or a file that cannot be read
//	3  no entry could be reached, or the platform is down; nothing changed
//	4  outcome not known yet: retry with the same file and base
//	5  provisional: a volatile zone order was issued; it is not accepted
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
