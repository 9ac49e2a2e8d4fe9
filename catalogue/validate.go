package catalogue

import (
	"fmt"
	"regexp"

	"github.com/zinniaseam/zinniaseam/core"
)

// Limits on values in a set.
const (
	maxNameBytes = 128
	// MaxWeight is the maximum capacity weight of a team.
	MaxWeight = 1000
	// MaxVersionBytes is the maximum size of the weights of one version.
	MaxVersionBytes = 16 << 40
	// MaxSwitchingLimit is the maximum value of Pool.MaxSwitching.
	MaxSwitchingLimit = 4096
	maxZonesOfObject  = 256
	maxCalls          = 256
	maxMethods        = 16
	maxPrefixBytes    = 1024
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Validate validates the set as a whole and returns all problems in the order of
// the set. References lead from routes to pools, services and models, from pools
// to versions, models and zones, from services to zones, and from versions to
// models. No object refers to its own kind, so references cannot form a cycle.
func Validate(set *Set) Problems {
	v := newValidator(set)
	v.zones()
	v.models()
	v.versions()
	v.pools()
	v.services()
	v.routes()
	v.teams()
	return v.problems
}

// validator collects the problems of one set.
type validator struct {
	set      *Set
	problems Problems
	zone     map[core.ZoneID]ZoneState
	model    map[core.ModelID]bool
	version  map[core.VersionID]core.ModelID
	pool     map[core.PoolID]core.ModelID
	service  map[core.ServiceID]bool
}

func newValidator(set *Set) *validator {
	v := &validator{
		set: set, zone: map[core.ZoneID]ZoneState{}, model: map[core.ModelID]bool{},
		version: map[core.VersionID]core.ModelID{}, pool: map[core.PoolID]core.ModelID{}, service: map[core.ServiceID]bool{},
	}
	for _, z := range set.Zones {
		v.zone[z.Name] = z.State
	}
	for _, m := range set.Models {
		v.model[m.Name] = true
	}
	for _, ver := range set.Versions {
		v.version[ver.Name] = ver.Model
	}
	for _, p := range set.Pools {
		v.pool[p.Name] = p.Model
	}
	for _, s := range set.Services {
		v.service[s.Name] = true
	}
	return v
}

// problemReporter records the problems of one object.
type problemReporter struct {
	v    *validator
	name string
}

func (o problemReporter) add(field string, code ProblemCode, format string, args ...any) {
	o.v.problems = append(o.v.problems, Problem{Object: o.name, Field: field, Code: code, Detail: fmt.Sprintf(format, args...)})
}

// newReporter returns the problem reporter for an object and checks its name. seen
// holds the names of the preceding objects of the same kind.
func (v *validator) newReporter(kind, name string, index int, seen map[string]bool) problemReporter {
	o := problemReporter{v: v, name: objectName(kind, name, index)}
	switch {
	case name == "":
		o.add("name", ProblemBadName, "is empty")
	case len(name) > maxNameBytes:
		o.add("name", ProblemBadName, "has %d bytes, want at most %d", len(name), maxNameBytes)
	case !namePattern.MatchString(name):
		o.add("name", ProblemBadName, "want letters, digits, dots, dashes and underscores, first a letter or digit")
	case seen[name]:
		o.add("name", ProblemDuplicate, "another %s has the same name", kind)
	}
	seen[name] = true
	return o
}

func (v *validator) zones() {
	seen := map[string]bool{}
	for i, z := range v.set.Zones {
		o := v.newReporter("zone", string(z.Name), i, seen)
		if z.Region == "" {
			o.add("region", ProblemMissing, "is empty")
		} else if !namePattern.MatchString(string(z.Region)) || len(z.Region) > maxNameBytes {
			o.add("region", ProblemBadName, "want letters, digits, dots, dashes and underscores, at most %d bytes", maxNameBytes)
		}
		if z.State != "" && z.State != ZoneIn && z.State != ZoneOut {
			o.add("state", ProblemBadValue, "is %q, want in or out", z.State)
		}
	}
}

func (v *validator) models() {
	seen := map[string]bool{}
	for i, m := range v.set.Models {
		v.newReporter("model", string(m.Name), i, seen)
	}
}

func (v *validator) versions() {
	seen := map[string]bool{}
	for i, ver := range v.set.Versions {
		o := v.newReporter("version", string(ver.Name), i, seen)
		v.checkModel(o, ver.Model)
		var digest core.Digest
		if err := digest.UnmarshalText([]byte(ver.Digest)); err != nil {
			o.add("whole", ProblemBadValue, "want a SHA-256 digest of 64 hexadecimal digits")
		}
		if ver.SizeBytes < 1 || ver.SizeBytes > MaxVersionBytes {
			o.add("sizeBytes", ProblemOutOfBounds, "is %d, want 1 to %d bytes", ver.SizeBytes, int64(MaxVersionBytes))
		}
	}
}

func (v *validator) checkModel(o problemReporter, model core.ModelID) {
	if model == "" {
		o.add("model", ProblemMissing, "is empty")
	} else if !v.model[model] {
		o.add("model", ProblemUnknown, "model %q is not declared", model)
	}
}

func (v *validator) pools() {
	seen := map[string]bool{}
	for i, p := range v.set.Pools {
		o := v.newReporter("pool", string(p.Name), i, seen)
		v.checkModel(o, p.Model)
		v.checkPoolVersion(o, p)
		v.checkZones(o, p.Zones)
		if p.MaxSwitching < 0 || p.MaxSwitching > MaxSwitchingLimit {
			o.add("maxSwitching", ProblemOutOfBounds, "is %d, want 0 to %d endpoints", p.MaxSwitching, MaxSwitchingLimit)
		}
	}
}

func (v *validator) checkPoolVersion(o problemReporter, p Pool) {
	if p.Version == "" {
		o.add("version", ProblemMissing, "is empty")
		return
	}
	model, known := v.version[p.Version]
	if !known {
		o.add("version", ProblemUnknown, "version %q is not declared", p.Version)
		return
	}
	if model != p.Model {
		o.add("version", ProblemMismatch, "version %q is of model %q, want model %q", p.Version, model, p.Model)
	}
}

// checkZones checks the zones of a pool or service. At least one of the declared
// zones must accept work.
func (v *validator) checkZones(o problemReporter, zones []core.ZoneID) {
	if len(zones) == 0 {
		o.add("zones", ProblemNoCapacity, "names no availability zone")
		return
	}
	if len(zones) > maxZonesOfObject {
		o.add("zones", ProblemOutOfBounds, "names %d availability zones, want at most %d", len(zones), maxZonesOfObject)
		return
	}
	seen := map[core.ZoneID]bool{}
	known, in := 0, 0
	for _, zone := range zones {
		if seen[zone] {
			o.add("zones", ProblemDuplicate, "zone %q is named twice", zone)
		}
		seen[zone] = true
		state, declared := v.zone[zone]
		if !declared {
			o.add("zones", ProblemUnknown, "zone %q is not declared", zone)
			continue
		}
		known++
		if state != ZoneOut {
			in++
		}
	}
	if known > 0 && in == 0 {
		o.add("zones", ProblemNoCapacity, "every availability zone of it is out; bring one in or add one first")
	}
}

func (v *validator) teams() {
	seen := map[string]bool{}
	for i, t := range v.set.Teams {
		o := v.newReporter("team", string(t.Name), i, seen)
		if t.Weight < 1 || t.Weight > MaxWeight {
			o.add("weight", ProblemOutOfBounds, "is %d, want 1 to %d", t.Weight, MaxWeight)
		}
	}
}
