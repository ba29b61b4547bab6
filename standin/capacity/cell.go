package capacity

import (
	"fmt"
	"math"
)

// Source tells where a figure comes from.
type Source string

// The sources of figures.
const (
	// Measured is a measurement at the planned size.
	Measured Source = "measured"
	// FromSlopes is a sum of measured slopes and the plan's numbers.
	FromSlopes Source = "measured slopes"
	// Computed also rests on defaults of packages or sizes of headers that no
	// run here has measured.
	Computed Source = "computed"
	// NotMeasured has no figure.
	NotMeasured Source = "not measured"
)

// Cell is the figure of one row.
type Cell struct {
	Figure string
	// Budget is the limit beside it, empty if there is none.
	Budget  string
	Exceeds bool
	// Mechanism names the package that carries it.
	Mechanism string
	Source    Source
}

// verdict returns the budget with the outcome.
func (c Cell) verdict() string {
	switch {
	case c.Budget == "":
		return "-"
	case c.Source == NotMeasured:
		return c.Budget + ": open"
	case c.Exceeds:
		return c.Budget + ": **exceeds**"
	}
	return c.Budget + ": within"
}

// String returns the cell's columns of a Markdown table.
func (c Cell) String() string {
	return fmt.Sprintf("%s | %s | %s | %s", c.Figure, c.verdict(), c.Mechanism, c.Source)
}

// limited sets the budget and compares the value with it.
func (c Cell) limited(budget string, value, limit float64) Cell {
	c.Budget = budget
	c.Exceeds = value > limit
	return c
}

func formatBytes(b float64) string {
	switch size := math.Abs(b); {
	case size >= 1e6:
		return fmt.Sprintf("%.1f MB", b/1e6)
	case size >= 1e3:
		return fmt.Sprintf("%.1f KB", b/1e3)
	}
	return fmt.Sprintf("%d B", int64(math.Round(b)))
}

func formatSeconds(s float64) string {
	switch {
	case s >= 1:
		return fmt.Sprintf("%.1f s", s)
	case s >= 1e-3:
		return fmt.Sprintf("%.1f ms", s*1e3)
	case s >= 1e-6:
		return fmt.Sprintf("%.1f us", s*1e6)
	}
	return fmt.Sprintf("%.0f ns", s*1e9)
}

func formatShare(share float64) string { return fmt.Sprintf("%.2f %% of a core", share*100) }

// spread returns a sample with its least and greatest value.
func spread(s Sample, format func(float64) string) string {
	return fmt.Sprintf("%s (%s to %s)", format(s.Median), format(s.Least), format(s.Most))
}
