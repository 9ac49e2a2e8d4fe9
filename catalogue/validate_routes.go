package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zinniaseam/zinniaseam/core"
)

// knownMethods lists the HTTP methods that a call rule may contain.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (v *validator) services() {
	seen := map[string]bool{}
	for i, s := range v.set.Services {
		o := v.newReporter("service", string(s.Name), i, seen)
		v.checkZones(o, s.Zones)
		if len(s.Calls) > maxCalls {
			o.add("calls", ProblemOutOfBounds, "has %d rules, want at most %d", len(s.Calls), maxCalls)
			continue
		}
		rules := map[string]bool{}
		for j, call := range s.Calls {
			checkCall(o, fmt.Sprintf("calls[%d]", j), call, rules)
		}
	}
}

// checkCall checks one call rule. rules holds the "method prefix" pairs of the
// preceding rules of the service.
func checkCall(o problemReporter, field string, call Call, rules map[string]bool) {
	if !strings.HasPrefix(call.Prefix, "/") || len(call.Prefix) > maxPrefixBytes {
		o.add(field+".prefix", ProblemBadValue, "is %q, want a path that starts with / of at most %d bytes", call.Prefix, maxPrefixBytes)
	}
	checkPriority(o, field+".priority", call.Priority)
	if len(call.Methods) > maxMethods {
		o.add(field+".methods", ProblemOutOfBounds, "names %d methods, want at most %d", len(call.Methods), maxMethods)
		return
	}
	methods := call.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, method := range methods {
		if method != "" && !slices.Contains(knownMethods, method) {
			o.add(field+".methods", ProblemBadValue, "method %q, want one of %s", method, strings.Join(knownMethods, ", "))
		}
		rule := method + " " + call.Prefix
		if rules[rule] {
			o.add(field, ProblemDuplicate, "another rule covers method %q under %q", method, call.Prefix)
		}
		rules[rule] = true
	}
}

func checkPriority(o problemReporter, field, name string) {
	if _, err := core.ParsePriority(name); err != nil {
		o.add(field, ProblemBadValue, "%v", err)
	}
}

func (v *validator) routes() {
	seen := map[string]bool{}
	models := map[core.ModelID]core.ModelID{}
	services := map[core.ServiceID]core.ModelID{}
	for i, r := range v.set.Routes {
		o := v.newReporter("route", string(r.Name), i, seen)
		checkPriority(o, "priority", r.Priority)
		switch {
		case r.Pool != "" && r.Service != "":
			o.add("pool", ProblemExactlyOneOf, "pool and service are both set, want exactly one")
		case r.Pool == "" && r.Service == "":
			o.add("pool", ProblemExactlyOneOf, "neither pool nor service is set, want exactly one")
		case r.Pool != "":
			v.checkPoolRoute(o, r, models)
		default:
			v.checkServiceRoute(o, r, services)
		}
	}
}

func (v *validator) checkPoolRoute(o problemReporter, r Route, routeNames map[core.ModelID]core.ModelID) {
	v.checkModel(o, r.Model)
	if other, duplicate := routeNames[r.Model]; duplicate && r.Model != "" {
		o.add("model", ProblemDuplicate, "route %q matches model %q as well", other, r.Model)
	} else {
		routeNames[r.Model] = r.Name
	}
	model, known := v.pool[r.Pool]
	if !known {
		o.add("pool", ProblemUnknown, "pool %q is not declared", r.Pool)
		return
	}
	if r.Model != "" && model != r.Model {
		o.add("pool", ProblemMismatch, "pool %q serves model %q, want model %q", r.Pool, model, r.Model)
	}
}

func (v *validator) checkServiceRoute(o problemReporter, r Route, routeNames map[core.ServiceID]core.ModelID) {
	if r.Model != "" {
		o.add("model", ProblemMismatch, "is set on a route to a service, want it empty")
	}
	if other, duplicate := routeNames[r.Service]; duplicate {
		o.add("service", ProblemDuplicate, "route %q serves service %q as well", other, r.Service)
	} else {
		routeNames[r.Service] = r.Name
	}
	if !v.service[r.Service] {
		o.add("service", ProblemUnknown, "service %q is not declared", r.Service)
	}
}
