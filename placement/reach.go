package placement

import (
	"cmp"
	"slices"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/reach"
)

// chooseEndpoints sets the endpoints of each service on which calls are placed: the engines
// with whose agents this process keeps in touch, and all endpoints of other services.
func (p *Placer) chooseEndpoints() {
	registered := map[core.ServiceID][]*fleet.Endpoint{}
	for _, endpoint := range p.view.Endpoints {
		registered[endpoint.Service] = append(registered[endpoint.Service], endpoint)
	}
	self := reach.Gateway{Name: p.config.Name, Region: p.config.Region, Gateways: p.gateways}
	p.byService = map[core.ServiceID][]*endpointState{}
	p.inTouch = map[string]bool{}
	for service, endpoints := range registered {
		if p.runsEngines(service) {
			endpoints = reach.Choose(self, endpoints, func(e *fleet.Endpoint) bool { return e.Draining || p.view.ZonesOut[e.Zone] })
			for _, endpoint := range endpoints {
				p.inTouch[endpoint.Address] = true
			}
		}
		list := make([]*endpointState, 0, len(endpoints))
		for _, endpoint := range endpoints {
			list = append(list, p.endpoints[endpoint.ID])
		}
		slices.SortFunc(list, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
		p.byService[service] = list
	}
}

func (p *Placer) runsEngines(service core.ServiceID) bool {
	return p.view.Deployment != nil && p.view.Deployment.Services[service].Engine != nil
}

// InTouch reports whether this process keeps in touch with the agent of the engine at an
// address.
func (p *Placer) InTouch(address string) bool { return p.inTouch[address] }
