package core

import "time"

// SetDefault sets an option that is zero or negative to its default.
func SetDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
