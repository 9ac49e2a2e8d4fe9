// Command standin-3 plays the cases 11 to 15 of the review: it starts the project's programs as
// separate processes and stands in for the platform's store, the runners, the origin of weights
// and the consumers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailed  = 2
	argumentsNo = 4
)

// cases are the cases by their number.
var cases = map[string]func(*deployment) (broken bool, err error){
	"11": playTruncated,
	"13": playQuarantine,
	"14": playDeparture,
	"15": playTenants,
}

func main() {
	// Processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() int {
	if len(os.Args) != argumentsNo || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE REPOSITORY FOLDER")
		return exitFailed
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	d, err := newDeployment(os.Args[2], file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		d.note("result: the rule was broken")
		fmt.Println("the rule was broken; see", file.Name())
		return exitBroken
	}
	d.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
