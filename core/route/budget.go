package route

import "sync/atomic"

// Retry budget in thousandths of a retry. Each request earns a tenth of a retry,
// so retries add at most a tenth to the load when everything fails.
const (
	earnPerRequest = 100
	costPerRetry   = 1000
	budgetLimit    = 100 * costPerRetry
	budgetStart    = 10 * costPerRetry
)

// Budget limits retries to a share of requests. The zero value starts with a
// few retries, so that a quiet process can retry at once. It is atomic.
type Budget struct {
	balance atomic.Int64 // relative to budgetStart
}

// Earn credits one request.
func (bud *Budget) Earn() {
	if bud.balance.Add(earnPerRequest) > budgetLimit-budgetStart {
		bud.balance.Store(budgetLimit - budgetStart)
	}
}

// Spend takes one retry from the budget and reports whether there was one.
func (bud *Budget) Spend() bool {
	if bud.balance.Add(-costPerRetry) >= -budgetStart {
		return true
	}
	bud.balance.Add(costPerRetry)
	return false
}
