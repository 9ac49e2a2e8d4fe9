package catalogue

import (
	"slices"
	"strings"

	"github.com/zinniaseam/zinniaseam/core"
)

// Index provides lookups in a set. It is built once per revision, is immutable
// and is safe for concurrent use. Returned objects must not be modified.
type Index struct {
	zones     map[core.ZoneID]*Zone
	versions  map[core.VersionID]*Version
	pools     map[core.PoolID]*Pool
	services  map[core.ServiceID]*Service
	byModel   map[core.ModelID]*Route
	byService map[core.ServiceID]*Route
	weights   map[core.TeamID]int
	calls     map[core.ServiceID][]Call
	zonesOut  []core.ZoneID
}

// NewIndex returns the index of a validated set. The set must not be modified
// afterwards.
func NewIndex(set *Set) *Index {
	x := &Index{
		zones: map[core.ZoneID]*Zone{}, versions: map[core.VersionID]*Version{}, pools: map[core.PoolID]*Pool{},
		services: map[core.ServiceID]*Service{}, byModel: map[core.ModelID]*Route{}, byService: map[core.ServiceID]*Route{},
		weights: map[core.TeamID]int{}, calls: map[core.ServiceID][]Call{},
	}
	for i := range set.Zones {
		zone := &set.Zones[i]
		x.zones[zone.Name] = zone
		if zone.State == ZoneOut {
			x.zonesOut = append(x.zonesOut, zone.Name)
		}
	}
	for i := range set.Versions {
		x.versions[set.Versions[i].Name] = &set.Versions[i]
	}
	for i := range set.Pools {
		x.pools[set.Pools[i].Name] = &set.Pools[i]
	}
	for i := range set.Services {
		x.addService(&set.Services[i])
	}
	for i := range set.Routes {
		x.addRoute(&set.Routes[i])
	}
	for _, team := range set.Teams {
		x.weights[team.Name] = team.Weight
	}
	return x
}

// addService adds a service. It sorts the rules by descending length of the
// prefix, and rules with explicit methods before those that apply to all methods.
func (x *Index) addService(service *Service) {
	x.services[service.Name] = service
	calls := slices.Clone(service.Calls)
	slices.SortStableFunc(calls, func(a, b Call) int {
		if len(a.Prefix) != len(b.Prefix) {
			return len(b.Prefix) - len(a.Prefix)
		}
		return min(len(b.Methods), 1) - min(len(a.Methods), 1)
	})
	x.calls[service.Name] = calls
}

func (x *Index) addRoute(route *Route) {
	if route.Pool != "" {
		x.byModel[route.Model] = route
		return
	}
	x.byService[route.Service] = route
}

// Zone returns the declared zone, or nil.
func (x *Index) Zone(name core.ZoneID) *Zone { return x.zones[name] }

// Version returns the declared version, or nil.
func (x *Index) Version(name core.VersionID) *Version { return x.versions[name] }

// Pool returns the declared pool, or nil.
func (x *Index) Pool(name core.PoolID) *Pool { return x.pools[name] }

// Service returns the declared service, or nil.
func (x *Index) Service(name core.ServiceID) *Service { return x.services[name] }

// RouteForModel returns the route for a model, or nil.
func (x *Index) RouteForModel(model core.ModelID) *Route { return x.byModel[model] }

// RouteForService returns the route to a service, or nil.
func (x *Index) RouteForService(service core.ServiceID) *Route { return x.byService[service] }

// ZonesOut returns the zones with state ZoneOut.
func (x *Index) ZonesOut() []core.ZoneID { return slices.Clone(x.zonesOut) }

// TeamWeight returns the weight of a team. If the team is not declared, known is
// false.
func (x *Index) TeamWeight(team core.TeamID) (weight int, known bool) {
	weight, known = x.weights[team]
	return weight, known
}

// CallRule returns the rule of a service that applies to a call: the one with the
// longest prefix of path among those that apply to the method. The query string
// of path is ignored. If there is no rule, known is false and the call must not
// be retried.
func (x *Index) CallRule(service core.ServiceID, method, path string) (rule Call, known bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, call := range x.calls[service] {
		if hasPathPrefix(path, call.Prefix) && coversMethod(call.Methods, method) {
			return call, true
		}
	}
	return Call{}, false
}

func coversMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// hasPathPrefix reports whether prefix matches complete segments of path:
// /orders matches /orders and /orders/7 but not /orders-archive.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
