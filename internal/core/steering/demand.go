package steering

import "time"

// NumPriorities is the number of priorities that nodes distinguish. Lower declared
// priorities count as the lowest.
const NumPriorities = 4

// Demand is what a route's requests need, as declared by operators.
type Demand struct {
	// Priority orders requests when a target has less capacity than requested: 0 is the
	// highest, NumPriorities-1 the lowest.
	Priority uint8
	// Objective is the latency objective of a request, from the caller's first attempt to
	// the response, 0 if none is declared. Without one, requests are admitted by the number
	// in flight and forwarded in the order of their arrival.
	Objective time.Duration
	// Timeout is the time after which callers abandon a request, 0 if unknown.
	Timeout time.Duration
}
