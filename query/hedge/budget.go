// Package hedge decides when a second attempt at the same sub-request is due and how many of them
// a plan may make.
package hedge

const (
	// hedgeShare and retryShare are the tokens that a first attempt earns for hedges and for retries.
	// Together they keep extra sub-requests within 3 % of the first attempts.
	hedgeShare = 0.02
	retryShare = 0.01
	// maxHedges and maxRetries bound the burst after a quiet time. Retries have to cover the attempts
	// that are lost with a failure domain before its targets are known to be silent: a few for each of
	// up to about 60 targets.
	maxHedges  = 50
	maxRetries = 200
	// initialHedges and initialRetries let a new instance act before it has earned anything.
	initialHedges  = 5
	initialRetries = 50
)

// Budget is a token bucket for the extra attempts of one plan at one target class. Its unit is one
// sub-request. It is not safe for concurrent use.
type Budget struct {
	share, limit, tokens float64
}

// NewHedgeBudget returns the bucket for hedges.
func NewHedgeBudget() Budget {
	return Budget{share: hedgeShare, limit: maxHedges, tokens: initialHedges}
}

// NewRetryBudget returns the bucket for retries.
func NewRetryBudget() Budget {
	return Budget{share: retryShare, limit: maxRetries, tokens: initialRetries}
}

// Earn adds the tokens of one first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.limit) }

// TryTake removes one token. It returns false if there is none.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
