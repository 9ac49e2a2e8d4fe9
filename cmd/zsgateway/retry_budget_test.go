package main

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/routing"
)

const (
	// retryWindow is the budget-window-s of the deployments.
	retryWindow = 10 * time.Second
	// budgetGain is what gateway.budgets lets a budget gain per second without calls.
	budgetGain = 0.01
	// repeatsPerCall is the number of sends beyond the first of a call that every endpoint
	// rejects (gateway.maxRejectedSends, less the first).
	repeatsPerCall = 2
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
	bounds := platform.Bounds{RetryRatio: 0.2, RetrySlack: f.slack, KeyRevocation: 5 * time.Second, ConfigInForce: 2 * time.Second, StopGrace: 8 * time.Second}
	config := provideConfig(&platform.Options{}, &platform.Settings{Bounds: bounds})
	budgets := make([]*routing.Budget, f.gateways)
	for i := range budgets {
		budgets[i] = routing.NewBudget(routing.BudgetConfig{Ratio: config.RetryRatio, Burst: config.RetryBurst, PerSecond: budgetGain})
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
	return repeats, bounds.RetryRatio*float64(windowCalls) + f.slack
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
