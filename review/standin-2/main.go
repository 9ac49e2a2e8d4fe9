// Command standin-2 has the stand-ins of the review's cases: a store, an origin of weights,
// runners and consumers. It starts the system's own programs as processes and plays one case.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"manifest": spoiledManifest,
	"clump":    clumpedPoison,
	"bodies":   longBodies,
	"unframed": lostRunner,
	"era":      restartInDrill,
	// Trials that are no cases; review/REPORT-2.md has their results.
	"parts":   longPrompt,
	"tenants": lastTenant,
	"endless": endlessAnswers,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 && args[0] == "runner" {
		return runRunner(args[1:])
	}
	set := flag.NewFlagSet("standin-2", flag.ExitOnError)
	name := set.String("case", "", "case to play")
	trouble := set.Bool("trouble", true, "with the disruption")
	path := set.String("record", "record.txt", "record to write")
	_ = set.Parse(args)
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitUnable
	}
	out, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer out.Close()
	record := &recorder{out: out, start: time.Now()}
	d, err := newDeployment(record)
	if err != nil {
		record.line("the case could not run: %v", err)
		return exitUnable
	}
	defer d.close()
	broken, err := play(d, *trouble)
	switch {
	case err != nil:
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	case broken:
		record.line("the rule was broken")
		return exitBroken
	}
	record.line("the rule held")
	return exitHeld
}
