package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/routing"
)

const (
	// retryWindow is the budget-window-s of the deployments.
	retryWindow = 10 * time.Second
	// retryRatio is the retry-budget-ratio of the deployments, of which gateways use
	// usedRatio.
	retryRatio = 0.2
	usedRatio  = 0.8
	// repeatsPerCall is the number of sends beyond the first of a call that every endpoint
	// rejects.
	repeatsPerCall = maxRejectedSends - 1
)

// fleetOfBudgets is a deployment whose gateways get equal parts of the calls.
type fleetOfBudgets struct {
	gateways       int
	slack          float64
	callsPerSecond int
}

// repeatsInWindow plays a calm period, then one in which every attempt is rejected. It
// returns the repeats in the first window of the rejections, and what BUDGET permits there.
func (f fleetOfBudgets) repeatsInWindow() (repeats int, permitted float64) {
	budgets := make([]*routing.Budget, f.gateways)
	for i := range budgets {
		shared := newBudgets(usedRatio*retryRatio, f.slack)
		shared.setGateways(f.gateways)
		budgets[i] = shared.of("s")
	}
	start := time.Unix(1_000_000, 0)
	windowCalls := f.callsPerSecond * int(retryWindow/time.Second)
	for call := range 2 * windowCalls {
		now := start.Add(time.Duration(call) * time.Second / time.Duration(f.callsPerSecond))
		budget := budgets[call%f.gateways]
		budget.Answered(now)
		if call < windowCalls {
			continue
		}
		for range repeatsPerCall {
			if budget.Take(now) {
				repeats++
			}
		}
	}
	return repeats, retryRatio*float64(windowCalls) + f.slack
}

func checkRetries(t *testing.T, fleets ...fleetOfBudgets) {
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d gateways, slack %.0f, %d calls per s", f.gateways, f.slack, f.callsPerSecond), func(t *testing.T) {
			repeats, permitted := f.repeatsInWindow()
			t.Logf("%d repeats in %v, %.0f permitted", repeats, retryWindow, permitted)
			NewWithT(t).Expect(float64(repeats)).To(BeNumerically("<=", permitted))
		})
	}
}

// Guards against BUDGET being broken by retries of a service whose endpoints reject calls
// for some seconds, at the two small deployments.
func TestRetriesOfSevenGatewaysStayWithinTheSharedSlack(t *testing.T) {
	checkRetries(t, fleetOfBudgets{gateways: 7, slack: 102, callsPerSecond: 17}, fleetOfBudgets{gateways: 7, slack: 102, callsPerSecond: 150})
}

// Guards against the same where each of many gateways uses a fixed part of the slack: the
// grown deployments (38 gateways, slack 224), the large one (99, 454) and 340 gateways. The
// loads are about those of the side service and of the models.
func TestRetriesOfManyGatewaysStayWithinTheSharedSlack(t *testing.T) {
	checkRetries(t,
		fleetOfBudgets{gateways: 38, slack: 102, callsPerSecond: 500},
		fleetOfBudgets{gateways: 38, slack: 224, callsPerSecond: 70},
		fleetOfBudgets{gateways: 38, slack: 224, callsPerSecond: 500},
		fleetOfBudgets{gateways: 99, slack: 454, callsPerSecond: 1100},
		fleetOfBudgets{gateways: 340, slack: 224, callsPerSecond: 1100},
		fleetOfBudgets{gateways: 340, slack: 454, callsPerSecond: 1100},
	)
}
