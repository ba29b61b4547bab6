package admission

const (
	// budgetRatio is the retries that one answered request pays for.
	budgetRatio = 0.2
	// budgetBurst bounds the saved retries.
	budgetBurst = 10
	// budgetStart lets a node that has just started retry a little.
	budgetStart = 2
)

// budget is a token bucket that answered requests fill and retries empty.
type budget struct{ tokens float64 }

func newBudget() budget { return budget{tokens: budgetStart} }

// earn adds the share of one answered request.
func (b *budget) earn() { b.tokens = min(b.tokens+budgetRatio, budgetBurst) }

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
