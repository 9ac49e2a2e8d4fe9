package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// The address of an engine that is gone is assigned to an endpoint of a service without
// agents. No view lies between the two entries.
func TestAPlainEndpointAtTheFormerAddressOfAnEngineGetsCalls(t *testing.T) {
	g := NewWithT(t)
	const coldPlain = "cold-plain"
	view := fleetView(1, 1)
	backend := view.Deployment.Services[engines]
	backend.ColdRate = 8
	view.Deployment.Services[engines] = backend
	view.Deployment.Services[coldPlain] = catalogue.Backend{Name: coldPlain, ColdRate: 8}
	p := newPlacer(view)
	p.UpdateGateways(1)
	engine := view.Endpoints["e0"]
	p.UpdatePermit(engine.Address, startquota.Permit{Starts: 4, Boot: 1, Until: start.Add(startquota.LeaseTime)})

	next := fleetView(1, 1)
	next.Deployment = view.Deployment
	next.Endpoints = map[fleet.EndpointID]*fleet.Endpoint{
		"p0": {ID: "p0", Service: coldPlain, Address: engine.Address, Zone: engine.Zone, Region: engine.Region, Slots: slots, Boot: 2},
	}
	now := start.Add(2 * time.Second)
	p.SetView(now, next)
	for range 10 {
		now = now.Add(time.Second)
		request := call(now)
		request.Service = coldPlain
		ticket := p.Submit(now, request)
		if ticket.Decision().Verdict == placement.Place {
			return
		}
		p.Cancel(ticket)
	}
	g.Expect(false).To(BeTrue(), "no call was placed within 10 s")
}
