package chart

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// Shares counts answers by target for each service.
func Shares(ledgers []workload.CallerLedger) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for i := range ledgers {
		for j := range ledgers[i].Requests {
			r := &ledgers[i].Requests[j]
			if r.Outcome != workload.RequestAnswered {
				continue
			}
			if out[r.Service] == nil {
				out[r.Service] = make(map[string]int)
			}
			out[r.Service][r.Target]++
		}
	}
	return out
}

// Imbalance returns the largest share over the mean of all.
func Imbalance(shares map[string]int) float64 {
	largest, total := 0, 0
	for _, n := range shares {
		largest = max(largest, n)
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(len(shares)) / float64(total)
}

// PrintImbalance writes one line for each service.
func PrintImbalance(w io.Writer, ledgers []workload.CallerLedger) {
	shares := Shares(ledgers)
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(w, "%s: targets=%d imbalance=%.2f\n", service, len(shares[service]), Imbalance(shares[service]))
	}
}
