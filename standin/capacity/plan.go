package capacity

// secondsPerDay turns daily counts into rates.
const secondsPerDay = 86_400

// Plan is the size that the project plans for.
type Plan struct {
	Balancers, Targets, Services int
	Regions, Domains             int
	OpenFlows, NewFlowsPerSecond float64
	ChangesPerDay                float64
	RestartsPerDay               float64
	HostFailuresPerDay           float64
}

// Letter1 returns the size of the first letter.
func Letter1() Plan {
	return Plan{
		Balancers: 610, Targets: 5_500, Services: 1_900,
		Regions: 2, Domains: 5,
		OpenFlows: 8_600_000, NewFlowsPerSecond: 41_000,
		ChangesPerDay: 3_000, RestartsPerDay: 2_300, HostFailuresPerDay: 23,
	}
}

// Nodes returns the number of processes: balancers, and an agent for each
// target.
func (p Plan) Nodes() int { return p.Balancers + p.Targets }

// FlowsPerTarget returns the mean number of flows that an agent holds.
func (p Plan) FlowsPerTarget() float64 { return p.OpenFlows / float64(p.Targets) }

// NewFlowsPerTarget returns the mean number of flows that an agent admits in a
// second.
func (p Plan) NewFlowsPerTarget() float64 { return p.NewFlowsPerSecond / float64(p.Targets) }

// FlowLifetime returns the mean life of a flow, in seconds.
func (p Plan) FlowLifetime() float64 { return p.OpenFlows / p.NewFlowsPerSecond }

// TargetsPerDomain returns the targets that are lost with a failure domain.
func (p Plan) TargetsPerDomain() float64 { return float64(p.Targets) / float64(p.Domains) }

// Budget is what control may cost one node.
type Budget struct {
	// Processor is a share of one core.
	Processor float64
	// Memory is in bytes; Traffic in bytes a second.
	Memory, Traffic float64
	// InForce is the time until a change is in force everywhere, in seconds.
	InForce float64
}

// Letter1Budget returns the budget of the first letter.
func Letter1Budget() Budget {
	return Budget{Processor: 0.044, Memory: 64e6, Traffic: 7e3, InForce: 19}
}

// StoreLimits is what the platform's store takes.
type StoreLimits struct{ ReadsPerSecond, WritesPerSecond float64 }

// PlatformStore returns the limits that the brief names: about two thousand
// reads and several hundred writes a second.
func PlatformStore() StoreLimits {
	return StoreLimits{ReadsPerSecond: 2000, WritesPerSecond: 300}
}
