package dissemination

import "time"

// budget is a token bucket over bytes. It may be overdrawn by one message.
type budget struct {
	perSecond, burst float64
	tokens           float64
	filled           time.Time
}

func newBudget(o Options) budget {
	burst := float64(o.BurstBytes)
	return budget{perSecond: float64(o.BytesPerSecond), burst: burst, tokens: burst}
}

// refill adds what has accrued since the last call.
func (b *budget) refill(now time.Time) {
	if !b.filled.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.filled).Seconds())
	}
	b.filled = now
}

// exhausted reports whether nothing may be sent now.
func (b *budget) exhausted() bool { return b.tokens <= 0 }

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
