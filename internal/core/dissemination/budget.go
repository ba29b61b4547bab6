package dissemination

import "time"

// budget is a token bucket over bytes. It may be overdrawn by one message.
type budget struct {
	perSecond, burst float64
	tokens           float64
	lastRefill       time.Time
}

func newBudget(o Options) budget {
	burst := float64(o.BurstBytes)
	return budget{perSecond: float64(o.BytesPerSecond), burst: burst, tokens: burst}
}

// refill adds the tokens accrued since the last call.
func (b *budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
}

// exhausted reports whether the tokens are used up.
func (b *budget) exhausted() bool { return b.tokens <= 0 }

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
