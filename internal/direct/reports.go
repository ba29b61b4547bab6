package direct

import "time"

const (
	// reportWindow is the span in which lines of one text are counted.
	reportWindow = time.Second
	// reportsPerWindow bounds the lines of one text in a window. The first
	// lines of a burst tell its cause.
	reportsPerWindow = 5
)

// reportLimiter bounds the log lines of each text.
type reportLimiter struct {
	byText map[string]*reportCount
}

type reportCount struct {
	since      time.Time
	written    int
	suppressed int
}

// take reports whether a line may be written, and how many of its text were
// suppressed before it.
func (l *reportLimiter) take(now time.Time, text string) (suppressed int, ok bool) {
	if l.byText == nil {
		l.byText = make(map[string]*reportCount)
	}
	c := l.byText[text]
	if c == nil {
		c = &reportCount{since: now}
		l.byText[text] = c
	}
	if now.Sub(c.since) > reportWindow {
		c.since, c.written = now, 0
	}
	if c.written >= reportsPerWindow {
		c.suppressed++
		return 0, false
	}
	c.written++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}
