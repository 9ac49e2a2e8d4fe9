package placement

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/rollout"
)

// declarations returns the declared versions of a model.
func (p *Placer) declarations(model string) *rollout.Declarations {
	declared := p.declared[model]
	if declared == nil {
		declared = &rollout.Declarations{}
		p.declared[model] = declared
	}
	return declared
}

// LearnDeclarations applies the ages of a model's declarations that another process has
// sent. Models that no service has are ignored.
func (p *Placer) LearnDeclarations(now boottime.Instant, model string, ages []rollout.Age) {
	if p.view.Deployment == nil {
		return
	}
	for _, backend := range p.view.Deployment.Services {
		if backend.Engine != nil && slices.Contains(backend.Engine.Models, model) {
			p.declarations(model).Learn(now, ages)
			return
		}
	}
}

// DeclarationAges returns the known ages of a model's latest declarations.
func (p *Placer) DeclarationAges(now boottime.Instant, model string) []rollout.Age {
	return p.declarations(model).Ages(now, p.config.VersionSwitch)
}

// switchOver reports whether an engine's version may start no more work, because the
// period since the declaration of a newer one is over. If nothing is known about the
// time of that declaration, the period counts as over.
func (p *Placer) switchOver(now boottime.Instant, e *endpointState, version int64) bool {
	period := p.config.VersionSwitch - p.versionMargin(now, e)
	for _, model := range e.profile.Models {
		if at, known, newer := p.declarations(model).SupersededAt(version); newer && (!known || now.Sub(at) > period) {
			return true
		}
	}
	return false
}

// supersededFor returns how long ago a version newer than the engine's was declared, -1 if
// that is unknown, and the newest declared version, 0 if none is newer than the engine's.
func (p *Placer) supersededFor(now boottime.Instant, e *endpointState, version int64) (newest int64, age time.Duration) {
	for _, model := range e.profile.Models {
		declared := p.declarations(model)
		at, known, newer := declared.SupersededAt(version)
		switch {
		case !newer:
		case known:
			newest, age = declared.Newest(), now.Sub(at)
		default:
			newest, age = declared.Newest(), -1
		}
	}
	return newest, age
}
