// Command zsexplain asks a gateway where a request would go now and why. The request is not sent,
// and the gateway changes nothing.
//
// The gateway is set by -process or ZINNIASEAM_PROCESS, the address of its metrics. A team's key is
// set by -key or, so that it does not show in lists of processes, by ZINNIASEAM_KEY; -team names the
// team instead.
//
// Exit codes:
//
//	0  the request would be placed
//	1  wrong usage, the process cannot be reached, or an unknown route, key or team
//	3  the request would wait
//	4  the request would be rejected
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

	"github.com/zinniaseam/zinniaseam/explain"
	"github.com/zinniaseam/zinniaseam/settings"
)

// Exit codes; the package comment documents them.
const (
	exitPlaced   = 0
	exitFailed   = 1
	exitWaits    = 3
	exitRejected = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run asks the process and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	o, err := parse(args, out, errOut)
	if errors.Is(err, settings.ErrPrinted) || errors.Is(err, flag.ErrHelp) {
		return exitPlaced
	}
	if err != nil {
		fmt.Fprintf(errOut, "zsexplain: %v\n", err)
		return exitFailed
	}
	answer, body, err := ask(ctx, o)
	if err != nil {
		fmt.Fprintf(errOut, "zsexplain: %v\n", err)
		return exitFailed
	}
	if o.json {
		_, err = out.Write(body)
	} else {
		err = printAnswer(out, answer)
	}
	if err != nil {
		fmt.Fprintf(errOut, "zsexplain: writing the answer: %v\n", err)
		return exitFailed
	}
	return exitCode(answer.Verdict)
}

func exitCode(verdict string) int {
	switch verdict {
	case explain.VerdictPlace:
		return exitPlaced
	case explain.VerdictWait:
		return exitWaits
	default:
		return exitRejected
	}
}
