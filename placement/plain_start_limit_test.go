package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
)

const coldService = "cold-service"

// coldServiceView has one endpoint without an agent. It bears 8*1.5+5 = 17 calls a second
// while cold.
func coldServiceView() *fleet.View {
	view := fleet.NewView()
	view.Deployment = fleetView(1, 1).Deployment
	view.Deployment.Services[coldService] = catalogue.Backend{Name: coldService, ColdRate: 8}
	view.Endpoints["p0"] = &fleet.Endpoint{ID: "p0", Service: coldService, Address: "10.0.1.1:80", Zone: "z0", Region: "r0", Slots: 64, Boot: 1}
	return view
}

// sentWithinASecond returns how many calls the gateways start at the endpoint within a
// second if calls wait at all of them. known is the number of gateways that each has heard of.
func sentWithinASecond(known []int) int {
	sent := 0
	for i, count := range known {
		p := placement.New(placement.Config{
			Zone: "z0", Region: "r0", ColdOver: 1.5, ColdSlack: 5, VersionSwitch: 8 * time.Second, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		p.SetView(start, coldServiceView())
		p.UpdateGateways(count)
		for range 64 {
			request := call(start)
			request.Service = coldService
			ticket := p.Submit(start, request)
			if ticket.Decision().Verdict != placement.Place {
				break
			}
			if p.MayStart(start, ticket) {
				sent++
			}
		}
	}
	return sent
}

func repeated(n, count int) []int {
	known := make([]int, n)
	for i := range known {
		known[i] = count
	}
	return known
}

func TestAColdEndpointWithoutAnAgentGetsNoMoreThanItsBoundFromMoreGatewaysThanItsBound(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sentWithinASecond(repeated(38, 38))).To(BeNumerically("<=", 17))
}

// All processes start at once. The first gateway that an agent hears of is told that it is
// the only one, and the next ones that there are two, three and so on.
func TestAColdEndpointWithoutAnAgentGetsNoMoreThanItsBoundWhileGatewaysStart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sentWithinASecond([]int{1, 2, 3, 4, 5, 6, 7})).To(BeNumerically("<=", 17))
}

// No service of the deployment has agents, so that the only gateway never hears how many
// there are.
func TestAnEndpointOfADeploymentWithoutAgentsGetsCalls(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sentWithinASecond(repeated(1, 0))).To(BeNumerically(">=", 17/2))
}
