// Command review-standin runs the cases of the review: the stand-ins of the platform, the
// runners and the consumers, and the checks of what they saw.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"cut-streams":     cutStreams,
	"cut-bodies":      cutBodies,
	"poison":          poison,
	"poison-sound":    poisonSound,
	"poison-unframed": poisonUnframed,
	"poison-long":     poisonLong,
	"herd-kill":       herdKill,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		fmt.Println(runRunner(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns its exit code.
func run(name, recordPath string) int {
	d, err := newDeployment(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	if os.Getenv("REVIEW_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("REVIEW_LOGS"), os.DirFS(d.dir))
	}
	switch {
	case err != nil:
		d.record.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
