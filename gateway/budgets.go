package gateway

import (
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/routing"
)

// budgets holds the retry budget of each service, which bounds the sends beyond the
// first of each call.
type budgets struct {
	ratio, slack float64

	mu sync.Mutex
	// gateways is the largest number of gateways that is known to have run at once, 0 if
	// none is known. It does not fall, since gateways that are cut off go on sending.
	gateways  int
	byService map[core.ServiceID]*routing.Budget
}

// earnedPerSecond is what a service's budget gains per second without calls. It is
// close to zero, since the deployment's bound covers all processes together.
const earnedPerSecond = 0.01

// minBurst is the burst of a process that does not know how many share the slack, or
// whose part of it is less.
const minBurst = 1

// newBudgets returns budgets that earn ratio retries per call and share slack further ones
// with the other gateways.
func newBudgets(ratio, slack float64) *budgets {
	return &budgets{ratio: ratio, slack: slack, byService: map[core.ServiceID]*routing.Budget{}}
}

// setGateways divides the slack by the number of gateways, if it is the largest so far.
func (b *budgets) setGateways(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count <= b.gateways {
		return
	}
	b.gateways = count
	for _, budget := range b.byService {
		budget.SetBurst(b.burst())
	}
}

// burst returns this process's part of the slack. The caller must hold b.mu.
func (b *budgets) burst() float64 {
	if b.gateways == 0 {
		return minBurst
	}
	return max(b.slack/float64(b.gateways), minBurst)
}

func (b *budgets) of(service core.ServiceID) *routing.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = routing.NewBudget(routing.BudgetConfig{Ratio: b.ratio, Burst: b.burst(), PerSecond: earnedPerSecond})
		b.byService[service] = budget
	}
	return budget
}

// earn credits the budget of a service for a caller's request.
func (b *budgets) earn(service core.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Answered(time.Now())
}

// take spends one send beyond the first and reports whether the budget allowed it.
func (b *budgets) take(service core.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(time.Now())
}
