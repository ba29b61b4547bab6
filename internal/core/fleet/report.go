package fleet

import "time"

// Report sums up the flows of a fleet.
type Report struct {
	Opened, Established, Broken, GivenUp int
	// Imbalance is the largest number of flows on one target over the mean.
	Imbalance float64
	// WorstStall is the longest time that an established flow was unanswered.
	WorstStall time.Duration
}

// Report counts flows and the imbalance over the agents that are up.
func (f *Fleet) Report() Report {
	r := Report{Opened: len(f.Flows)}
	for _, fl := range f.Flows {
		switch {
		case fl.Broken:
			r.Broken++
		case fl.GivenUp:
			r.GivenUp++
		}
		r.WorstStall = max(r.WorstStall, fl.Stall)
		if fl.Established() {
			r.Established++
		}
	}
	r.Imbalance = f.imbalance()
	return r
}

func (f *Fleet) imbalance() float64 {
	most, total, up := 0, 0, 0
	for _, a := range f.Agents {
		if a.Down || a.node.Board().Self.DomainOut {
			continue
		}
		up++
		total += len(a.connections)
		most = max(most, len(a.connections))
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(up) / float64(total)
}
