package capacity

import "fmt"

// Slopes is everything that is measured.
type Slopes struct {
	Memory    Memory
	Frames    Frames
	Timing    Timing
	Placement Placement
	Store     StoreCost
}

// Measure measures all slopes. It takes about half a minute and uses loopback
// only.
func Measure(p Plan) (Slopes, error) {
	var s Slopes
	var err error
	if s.Memory, err = measureMemory(p); err != nil {
		return s, fmt.Errorf("measure memory: %w", err)
	}
	if s.Frames, err = measureFrames(p); err != nil {
		return s, fmt.Errorf("measure control messages: %w", err)
	}
	if s.Timing, err = measureTiming(p); err != nil {
		return s, fmt.Errorf("measure processor time: %w", err)
	}
	if s.Placement, err = measurePlacement(p); err != nil {
		return s, fmt.Errorf("measure placement: %w", err)
	}
	if s.Store, err = measureStore(p); err != nil {
		return s, fmt.Errorf("measure store calls: %w", err)
	}
	return s, nil
}
