package group

const (
	// tokensPerMessage is the share of extra messages in ordinary load.
	tokensPerMessage = 0.02
	// mostTokens bounds the burst of extra messages after a quiet time.
	mostTokens = 10.0
)

// Tokens is a Budget that earns a fixed share of a message for each first message. It is not safe for
// concurrent use.
type Tokens struct {
	tokens float64
}

// NewTokens returns a budget of one message, so that a new instance can hedge its first query.
func NewTokens() *Tokens { return &Tokens{tokens: 1} }

// Earn implements Budget.
func (t *Tokens) Earn() { t.tokens = min(mostTokens, t.tokens+tokensPerMessage) }

// Take implements Budget.
func (t *Tokens) Take() bool {
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
