package transfer

import (
	"context"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// run is the spread of one version on this machine. Only the event loop uses
// it, but for ctx and manifest, which the fetch goroutines read.
type run struct {
	manifest *core.Manifest
	ctx      context.Context
	cancel   context.CancelFunc
	policy   spread.Policy
	held     []bool
	progress Progress
	started  time.Time
	// startHeld is how many chunks were held when the run started.
	startHeld int
}

// Progress is how far the spread of a version is on this machine.
type Progress struct {
	Version core.VersionID `json:"version"`
	Stored  int            `json:"held"`
	Total   int            `json:"total"`
	Done    bool           `json:"done"`
	// OriginBytes and PeerBytes count good and bad chunks drawn since the start.
	OriginBytes int64 `json:"originBytes"`
	PeerBytes   int64 `json:"peerBytes"`
	// Rejected counts chunks whose digest did not hold.
	Rejected int `json:"rejected"`
	// TimeLeft is worked out from the mean rate so far; 0 when done or not known.
	TimeLeft time.Duration `json:"timeLeft"`
}

// result is what one fetch goroutine reports.
type result struct {
	run     *run
	fetch   spread.Fetch
	failure spread.Failure
	// err is why the fetch brought nothing.
	err   error
	ok    bool
	bytes int64
	// transfer is the time from the first byte to the last.
	transfer time.Duration
}

// command is a request of another goroutine to the event loop.
type command interface{ transferCommand() }

type wantCommand struct {
	manifest *core.Manifest
	held     []bool
	members  []spread.Member
}

type membersCommand struct{ members []spread.Member }

type lostCommand struct {
	version core.VersionID
	chunks  []int
}

func (wantCommand) transferCommand()    {}
func (membersCommand) transferCommand() {}
func (lostCommand) transferCommand()    {}

func (r *run) countHeld() int {
	count := 0
	for _, held := range r.held {
		if held {
			count++
		}
	}
	return count
}

func (r *run) timeLeft(now time.Time) time.Duration {
	fetched := r.progress.Stored - r.startHeld
	if r.progress.Done || fetched <= 0 {
		return 0
	}
	each := now.Sub(r.started) / time.Duration(fetched)
	return each * time.Duration(r.progress.Total-r.progress.Stored)
}
