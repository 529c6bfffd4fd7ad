// Package hedge decides when a hedge of a sub-request is due, and limits the extra attempts, which are hedges
// and retries.
package hedge

const (
	// hedgeRatio and retryRatio are the tokens that each first attempt adds for hedges and for retries.
	// Together they limit extra sub-requests to 3 % of the first attempts.
	hedgeRatio = 0.02
	retryRatio = 0.01
	// maxHedges and maxRetries bound the burst after a time with few extra attempts. Retries have to cover
	// the attempts that are lost when a failure domain fails, until its targets are known to be silent: a
	// few for each of up to about 60 targets.
	maxHedges  = 50
	maxRetries = 200
	// initialHedges and initialRetries allow extra attempts by a new instance that has earned no tokens yet.
	initialHedges  = 5
	initialRetries = 50
)

// Budget is a token bucket for the extra attempts of one plan at one target class. A token pays for one
// sub-request. Budget is not safe for concurrent use.
type Budget struct {
	ratio, maxTokens, tokens float64
}

// NewHedgeBudget returns a budget for hedges.
func NewHedgeBudget() Budget {
	return Budget{ratio: hedgeRatio, maxTokens: maxHedges, tokens: initialHedges}
}

// NewRetryBudget returns a budget for retries.
func NewRetryBudget() Budget {
	return Budget{ratio: retryRatio, maxTokens: maxRetries, tokens: initialRetries}
}

// Earn adds the tokens for one first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.ratio, b.maxTokens) }

// TryTake takes a token. It returns false if there is none.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
