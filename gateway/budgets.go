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
	config routing.BudgetConfig

	mu        sync.Mutex
	byService map[core.ServiceID]*routing.Budget
}

// earnedPerSecond is what a service's budget gains per second without calls. It is
// close to zero, since the deployment's bound covers all processes together.
const earnedPerSecond = 0.01

func newBudgets(ratio, burst float64) *budgets {
	return &budgets{
		config:    routing.BudgetConfig{Ratio: ratio, Burst: burst, PerSecond: earnedPerSecond},
		byService: map[core.ServiceID]*routing.Budget{},
	}
}

func (b *budgets) of(service core.ServiceID) *routing.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = routing.NewBudget(b.config)
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
