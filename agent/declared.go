package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/rollout"
)

const (
	// maxModels bounds the models whose declarations are tracked.
	maxModels = 4
	// settleTime is how long ages from other processes are ignored after the process was
	// suspended: the messages that waited meanwhile are read within it.
	settleTime = 300 * time.Millisecond
)

// learnDeclarations applies the ages of declarations that a gateway has sent. Followers
// are told if a declaration proves older than was known.
func (a *Agent) learnDeclarations(encoded []*peerpb.DeclarationAge) {
	if len(encoded) == 0 || !a.pauses.RanFor(settleTime) {
		return
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := false
	for model, ages := range peers.DecodeAges(encoded) {
		declared := a.declared[model]
		if declared == nil {
			if len(a.declared) >= maxModels {
				continue
			}
			declared = &rollout.Declarations{}
			a.declared[model] = declared
		}
		changed = declared.Learn(now, ages) || changed
	}
	if changed {
		a.declaredChanges++
		a.publish(a.status)
	}
}

// supersededAt returns when the first version of a model that is newer than the given one
// was declared, as told by gateways.
func (a *Agent) supersededAt(model string, version int64) (at boottime.Instant, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if declared := a.declared[model]; declared != nil {
		return declared.FirstAfter(version)
	}
	return 0, false
}

// declarationAges returns the ages of recent declarations. The caller must hold a.mu.
func (a *Agent) declarationAges() []*peerpb.DeclarationAge {
	var encoded []*peerpb.DeclarationAge
	now := boottime.Now()
	for _, model := range slices.Sorted(maps.Keys(a.declared)) {
		encoded = append(encoded, peers.EncodeAges(model, a.declared[model].Ages(now, a.config.SwitchTime))...)
	}
	return encoded
}

// switchPending reports whether the engine serves a version whose period ends soon, since
// a newer one has been declared. Gateways then need recent statuses: they measure the
// delay of their path to the engine with them. The caller must hold a.mu.
func (a *Agent) switchPending() bool {
	now := boottime.Now()
	for _, declared := range a.declared {
		if at, known := declared.FirstAfter(a.status.GetVersion()); known && now.Sub(at) < a.config.SwitchTime {
			return true
		}
	}
	return false
}
