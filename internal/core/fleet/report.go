package fleet

import "time"

// Report summarizes the flows of a fleet.
type Report struct {
	Opened, Established, Broken, Abandoned int
	// Imbalance is the largest number of flows on one target divided by the mean.
	Imbalance float64
	// WorstStall is the largest WorstStall of any flow.
	WorstStall time.Duration
}

// Report counts the flows and computes the imbalance of the agents that are up.
func (f *Fleet) Report() Report {
	r := Report{Opened: len(f.Flows)}
	for _, fl := range f.Flows {
		switch {
		case fl.Broken:
			r.Broken++
		case fl.Abandoned:
			r.Abandoned++
		}
		r.WorstStall = max(r.WorstStall, fl.WorstStall)
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
