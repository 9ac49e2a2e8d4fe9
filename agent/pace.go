package agent

import (
	"expvar"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/pacing"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

const (
	// maxPaceLines is the maximum number of log lines on changes of the limit within
	// paceLinesInterval. A spell takes about 4; an engine that bears fewer calls than
	// declared changes its limit about twice in 2 s.
	maxPaceLines      = 20
	paceLinesInterval = 10 * time.Second
)

// enginePace counts changes of the limit by reason, reports that were ignored and changes
// that were not logged. enginePaceLimit is the limit, 0 if there is none.
var (
	enginePace      = expvar.NewMap("engine_pace")
	enginePaceLimit = expvar.NewInt("engine_pace_limit")
)

// pace limits the slots that are divided among gateways after the engine has started or
// recovered.
type pace struct {
	controller *pacing.Controller
	// active is set if the gateways ask for it.
	active bool
	// slots is the declared number of slots, 0 if it is not known.
	slots int
	// polledAt is when the last poll began, 0 before it.
	polledAt boottime.Instant
	// lines is the number of lines logged since linesSince.
	lines      int
	linesSince boottime.Instant
}

// applyPace takes the declared slots and whether gateways ask for a limit on them. Within one
// declaration a single gateway that asks is enough, since those of older versions do not know
// the field. The caller must hold a.mu.
func (a *Agent) applyPace(declared *peerpb.FleetNews, newer bool) {
	active := declared.GetPaced() || a.pace.active && !newer
	if active != a.pace.active {
		a.log.Info("Pacing of the engine changed.", "active", active, "limit", a.pace.controller.Limit(), "revision", declared.GetRevision(), "version", declared.GetVersion())
	}
	a.pace.active, a.pace.slots = active, int(declared.GetSlots())
	a.divider.SetSettling(active)
	a.paceChanged(a.pace.controller.SetSlots(boottime.Now(), a.pace.slots))
	a.divider.SetSlots(a.dividedSlots())
}

// dividedSlots returns how many slots are divided among gateways. The caller must hold a.mu.
func (a *Agent) dividedSlots() int {
	if !a.pace.active {
		return a.pace.slots
	}
	return min(a.pace.slots, a.pace.controller.Limit())
}

// paceReport passes a report to the controller. The caller must hold a.mu.
func (a *Agent) paceReport(report EngineReport, requestedAt boottime.Instant) {
	now := a.paceRan(requestedAt)
	observed := pacing.Report{RequestedAt: requestedAt, Boot: report.Boot, Running: report.Running, Waiting: report.Waiting, Pace: report.Pace, Loading: report.Loading}
	if !observed.Valid() {
		enginePace.Add("ignored_reports", 1)
	}
	a.paceChanged(a.pace.controller.Observe(now, observed))
}

// paceFailed passes a failed poll to the controller. The caller must hold a.mu.
func (a *Agent) paceFailed(requestedAt boottime.Instant) {
	a.paceChanged(a.pace.controller.Failed(a.paceRan(requestedAt)))
}

// paceRan passes a pause of this process since the last poll to the controller and returns
// the present time. The caller must hold a.mu.
func (a *Agent) paceRan(requestedAt boottime.Instant) boottime.Instant {
	now := boottime.Now()
	if a.pace.polledAt != 0 && !a.pauses.RanSince(a.pace.polledAt) {
		a.paceChanged(a.pace.controller.Paused(now))
	}
	a.pace.polledAt = requestedAt
	return now
}

// paceChanged applies, counts and logs a change of the limit; nil is none. The caller must
// hold a.mu.
func (a *Agent) paceChanged(change *pacing.Change) {
	a.divider.SetSlots(a.dividedSlots())
	enginePaceLimit.Set(a.paceLimit())
	if change == nil || !a.pace.active {
		return
	}
	enginePace.Add(string(change.Reason), 1)
	now := boottime.Now()
	if now.Sub(a.pace.linesSince) >= paceLinesInterval {
		a.pace.lines, a.pace.linesSince = 0, now
	}
	if a.pace.lines >= maxPaceLines {
		enginePace.Add("unlogged_changes", 1)
		return
	}
	a.pace.lines++
	a.log.Info("The limit of the engine's calls changed.", "from", change.From, "to", change.To, "reason", change.Reason, "slots", a.pace.slots,
		"boot", change.Report.Boot, "running", change.Report.Running, "waiting", change.Report.Waiting, "pace", change.Report.Pace, "loading", change.Report.Loading,
		"reportAgeMs", change.ReportAge.Milliseconds(), "baseline", change.Baseline, "failedPolls", change.Failed)
}

// paceLimit returns the limit in force, 0 if there is none. The caller must hold a.mu.
func (a *Agent) paceLimit() int64 {
	if !a.pace.active || a.pace.controller.Released() {
		return 0
	}
	return int64(a.pace.controller.Limit())
}
