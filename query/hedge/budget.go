// Package hedge decides when a second attempt at the same sub-request is due and how many of them
// a plan may make.
package hedge

const (
	// HedgeShare and RetryShare are the tokens that a first attempt earns for hedges and for retries.
	// Together they keep extra sub-requests within 3 % of the first attempts.
	HedgeShare = 0.02
	RetryShare = 0.01
	// maxTokens bounds the burst after a quiet time. It covers the attempts in flight to one lost
	// failure domain.
	maxTokens = 50
	// initialTokens lets a new instance hedge before it has earned anything.
	initialTokens = 5
)

// Budget is a token bucket for the extra attempts of one plan at one target class. Its unit is one
// sub-request. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a bucket to which each first attempt adds share tokens.
func NewBudget(share float64) Budget { return Budget{share: share, tokens: initialTokens} }

// Earn adds the tokens of one first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, maxTokens) }

// Take removes one token. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
