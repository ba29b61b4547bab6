package admission

const (
	// budgetRatio is the number of retries that one completed request allows.
	budgetRatio = 0.2
	// budgetBurst bounds the accumulated retries.
	budgetBurst = 10
	// budgetInitial allows a few retries on a node that has just started.
	budgetInitial = 2
)

// retryBudget is a token bucket that completed requests fill and retries empty.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: budgetInitial} }

// addTokens adds the share of one completed request.
func (b *retryBudget) addTokens() { b.tokens = min(b.tokens+budgetRatio, budgetBurst) }

// hasToken reports whether there is a token for one retry.
func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

// takeToken takes the token for one retry, which must exist.
func (b *retryBudget) takeToken() { b.tokens-- }
