package catalogue

import (
	"slices"

	"github.com/zinniaseam/zinniaseam/core"
)

// KeepZoneStates returns a copy of next with all zone states filled in: a zone
// with an empty state gets its state in base, and a new zone gets ZoneIn. Thus
// an operators' file without zone states never puts a zone back into service by
// accident.
func KeepZoneStates(base, next *Set) *Set {
	present := make(map[core.ZoneID]ZoneState, len(base.Zones))
	for _, zone := range base.Zones {
		present[zone.Name] = zone.State
	}
	filled := *next
	filled.Zones = slices.Clone(next.Zones)
	for i := range filled.Zones {
		zone := &filled.Zones[i]
		if zone.State == "" {
			zone.State = present[zone.Name]
		}
		if zone.State == "" {
			zone.State = ZoneIn
		}
	}
	return &filled
}

// WithZoneState returns a copy of the set with the state of one zone replaced. If
// the zone is not declared, known is false.
func (s *Set) WithZoneState(name core.ZoneID, state ZoneState) (changed *Set, known bool) {
	next := *s
	next.Zones = slices.Clone(s.Zones)
	for i := range next.Zones {
		if next.Zones[i].Name == name {
			next.Zones[i].State = state
			known = true
		}
	}
	return &next, known
}
