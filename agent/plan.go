package agent

import (
	"context"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/rollout"
)

// plannedSwitch is the planned load of a version that replaces the served one.
type plannedSwitch struct {
	version core.VersionID
	// earliest is the earliest permitted time when the switch was planned.
	earliest, at boottime.Instant
}

// advance reports the staged weights to the state machine once the engine may switch.
// Gateways are notified some time before, so that they send the engine no long calls.
func (u *updater) advance(ctx context.Context) {
	progress, known := u.spreader.Progress(u.target.Version)
	if u.target == (activation.Target{}) || !known || !progress.Done || u.serves(u.target.Version) {
		u.setPlan(plannedSwitch{})
		return
	}
	now, at := boottime.Now(), u.earliestSwitch()
	if u.loaded > 0 {
		if u.planned.version != u.target.Version || at < u.planned.earliest {
			next := plannedSwitch{version: u.target.Version, earliest: at, at: u.switchTime(now, at)}
			if u.planned.version == next.version {
				next.at = min(next.at, u.planned.at)
			}
			u.setPlan(next)
		}
		at = u.planned.at
	}
	if !now.Before(at) {
		u.step(ctx, activation.Staged{Target: u.target})
	}
}

// serves reports whether the engine has loaded a version completely.
func (u *updater) serves(version core.VersionID) bool {
	return u.loaded > 0 && u.declared != nil && u.config.Version(u.declared.GetModel(), u.loaded) == version
}

// setPlan replaces the planned switch and notifies gateways through onPlan.
func (u *updater) setPlan(next plannedSwitch) {
	if next == u.planned {
		return
	}
	u.planned = next
	if next.at != 0 {
		u.log.Info("A weight switch of the engine is planned.", "version", next.version, "formerVersion", u.loaded, "inMs", next.at.Sub(boottime.Now()).Milliseconds())
	}
	u.onPlan(next.at)
}

// switchTime returns when the engine switches: at earliest or later, so that gateways
// receive the notice before. An idle engine needs no notice.
func (u *updater) switchTime(now, earliest boottime.Instant) boottime.Instant {
	if u.idle {
		return max(earliest, now)
	}
	return max(earliest, now.Add(switchNotice))
}

// earliestSwitch returns the time from which the engine may switch. An engine that
// serves nothing need not wait.
func (u *updater) earliestSwitch() boottime.Instant {
	u.versions.RemoveUpTo(u.loaded)
	oldest := u.versions.Oldest()
	if u.loaded == 0 || oldest.Number <= u.loaded {
		return oldest.DeclaredAt
	}
	candidate := rollout.Candidate{
		Self:    rollout.Location{ID: core.VMID(u.config.EngineAddress), Zone: u.config.Zone},
		Version: oldest.ID, Limit: u.config.SwitchTime,
		RecentlySwitched: u.switchedAt != 0 && boottime.Now().Sub(u.switchedAt) < u.config.SwitchTime,
	}
	for _, m := range u.engines {
		candidate.Members = append(candidate.Members, rollout.Location{ID: m.ID, Zone: m.Zone})
	}
	return oldest.DeclaredAt.Add(rollout.SwitchDelay(candidate))
}

// correctTimes applies what gateways have told since about the times of the declarations.
// Of a version that the agent did not track, the time counts for the next one.
func (u *updater) correctTimes() {
	former := u.loaded
	for _, v := range u.versions.Versions() {
		if at, known := u.supersededAt(u.declared.GetModel(), former); known && at < v.DeclaredAt {
			u.log.Info("A version was declared earlier than assumed.", "version", v.ID, "earlierMs", v.DeclaredAt.Sub(at).Milliseconds())
			v.DeclaredAt = at
		}
		former = max(former, v.Number)
	}
}
