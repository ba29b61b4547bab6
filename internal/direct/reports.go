package direct

import "time"

const (
	// reportWindow is the window of the rate limit.
	reportWindow = time.Second
	// reportsPerWindow is how many lines with one text are logged in a window. The
	// first lines of a burst show its cause.
	reportsPerWindow = 5
)

// reportLimiter limits the rate of log lines with the same text.
type reportLimiter struct {
	byText map[string]*reportWindowState
}

type reportWindowState struct {
	start      time.Time
	written    int
	suppressed int
}

// allow reports whether a line may be logged, and how many lines with its text
// were suppressed since the last one.
func (l *reportLimiter) allow(now time.Time, text string) (suppressed int, ok bool) {
	if l.byText == nil {
		l.byText = make(map[string]*reportWindowState)
	}
	c := l.byText[text]
	if c == nil {
		c = &reportWindowState{start: now}
		l.byText[text] = c
	}
	if now.Sub(c.start) > reportWindow {
		c.start, c.written = now, 0
	}
	if c.written >= reportsPerWindow {
		c.suppressed++
		return 0, false
	}
	c.written++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}
