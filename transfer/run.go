package transfer

import (
	"context"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// run is the spread of one version on this machine. Only the event loop uses
// it, except for ctx and manifest, which the fetch goroutines read.
type run struct {
	manifest *core.Manifest
	ctx      context.Context
	cancel   context.CancelFunc
	policy   spread.Policy
	stored   []bool
	progress Progress
	started  time.Time
	// startStored is the number of chunks that were stored when the run started.
	startStored int
}

// Progress is the progress of a version's spread on this machine.
type Progress struct {
	Version core.VersionID `json:"version"`
	Stored  int            `json:"held"`
	Total   int            `json:"total"`
	Done    bool           `json:"done"`
	// OriginBytes and PeerBytes count the bytes received since the start,
	// including those of failed fetches.
	OriginBytes int64 `json:"originBytes"`
	PeerBytes   int64 `json:"peerBytes"`
	// Rejected counts chunks that did not match their digest.
	Rejected int `json:"rejected"`
	// TimeLeft is estimated from the mean rate so far; 0 when done or unknown.
	TimeLeft time.Duration `json:"timeLeft"`
}

// result is the outcome of one fetch.
type result struct {
	run     *run
	fetch   spread.Fetch
	failure spread.Failure
	// err is the reason of a failed fetch.
	err   error
	ok    bool
	bytes int64
	// transfer is the time from the first byte to the last.
	transfer time.Duration
}

// command is a request of another goroutine to the event loop.
type command interface{ transferCommand() }

type targetCommand struct {
	manifest *core.Manifest
	stored   []bool
	members  []spread.Member
}

type membersCommand struct{ members []spread.Member }

type lostCommand struct {
	version core.VersionID
	chunks  []int
}

func (targetCommand) transferCommand()  {}
func (membersCommand) transferCommand() {}
func (lostCommand) transferCommand()    {}

func (r *run) countStored() int {
	count := 0
	for _, stored := range r.stored {
		if stored {
			count++
		}
	}
	return count
}

func (r *run) timeLeft(now time.Time) time.Duration {
	fetched := r.progress.Stored - r.startStored
	if r.progress.Done || fetched <= 0 {
		return 0
	}
	each := now.Sub(r.started) / time.Duration(fetched)
	return each * time.Duration(r.progress.Total-r.progress.Stored)
}
