package route

import "sync/atomic"

// Amounts of the retry budget, in thousandths of a retry. Each request adds a tenth of a retry, so
// retries add at most a tenth to the load when all requests fail.
const (
	earnPerRequest = 100
	costPerRetry   = 1000
	budgetLimit    = 100 * costPerRetry
	budgetStart    = 10 * costPerRetry
)

// Budget limits retries to a share of the requests. The zero value allows a few retries, so that a
// process that has had few requests can retry at once. It is safe for concurrent use.
type Budget struct {
	balance atomic.Int64 // relative to budgetStart
}

// Earn adds the share of one request to the budget.
func (bud *Budget) Earn() {
	if bud.balance.Add(earnPerRequest) > budgetLimit-budgetStart {
		bud.balance.Store(budgetLimit - budgetStart)
	}
}

// Spend takes one retry from the budget and reports whether the budget allowed it.
func (bud *Budget) Spend() bool {
	if bud.balance.Add(-costPerRetry) >= -budgetStart {
		return true
	}
	bud.balance.Add(costPerRetry)
	return false
}
