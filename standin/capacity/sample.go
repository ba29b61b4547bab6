package capacity

import "slices"

// repeats is how often each measurement is repeated.
const repeats = 3

// Sample is a repeated measurement.
type Sample struct{ Median, Least, Most float64 }

// repeat measures several times. It stops at the first error.
func repeat(measure func() (float64, error)) (Sample, error) {
	var values []float64
	for range repeats {
		v, err := measure()
		if err != nil {
			return Sample{}, err
		}
		values = append(values, v)
	}
	return summary(values), nil
}

// summary returns the median and the spread of at least one value.
func summary(values []float64) Sample {
	slices.Sort(values)
	return Sample{Median: values[len(values)/2], Least: values[0], Most: values[len(values)-1]}
}

// Point is a measurement at a number of units.
type Point struct {
	Units int
	Sample
}

// Slope is a measurement at growing numbers of units.
type Slope struct{ Points []Point }

// PerUnit returns what one more unit costs between the smallest and the
// largest number.
func (s Slope) PerUnit() float64 {
	if len(s.Points) < 2 {
		return 0
	}
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	return (last.Median - first.Median) / float64(last.Units-first.Units)
}

// At returns the measurement at a number of units that was measured, and an
// estimate along the slope elsewhere.
func (s Slope) At(units float64) float64 {
	if len(s.Points) == 0 {
		return 0
	}
	for _, p := range s.Points {
		if float64(p.Units) == units {
			return p.Median
		}
	}
	first := s.Points[0]
	return first.Median + s.PerUnit()*(units-float64(first.Units))
}

// slope measures at each number of units.
func slope(units []int, measure func(units int) (float64, error)) (Slope, error) {
	var s Slope
	for _, n := range units {
		sample, err := repeat(func() (float64, error) { return measure(n) })
		if err != nil {
			return Slope{}, err
		}
		s.Points = append(s.Points, Point{n, sample})
	}
	return s, nil
}
