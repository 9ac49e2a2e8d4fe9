package engine

import (
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// maxReports bounds the number of load changes kept for lagging reports.
const maxReports = 4096

type loadReport struct {
	at      time.Time
	running int
	queued  int
}

// loadReports keeps the history of the load, so that reports can lag.
type loadReports struct {
	history []loadReport
}

func (l *loadReports) record(now time.Time, running, queued int) {
	if len(l.history) >= maxReports {
		l.history[len(l.history)-1] = loadReport{at: now, running: running, queued: queued}
		return
	}
	l.history = append(l.history, loadReport{at: now, running: running, queued: queued})
}

// lagging returns the load at the time lag before now and discards older history.
func (l *loadReports) lagging(now time.Time, lag time.Duration) engine.Load {
	then := now.Add(-max(0, lag))
	for len(l.history) > 1 && !l.history[1].at.After(then) {
		l.history = l.history[1:]
	}
	load := engine.Load{AgeMS: max(0, lag).Milliseconds()}
	if len(l.history) > 0 && !l.history[0].at.After(then) {
		load.Running = l.history[0].running
		load.Queued = l.history[0].queued
	}
	return load
}
