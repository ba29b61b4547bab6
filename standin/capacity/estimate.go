package capacity

// Estimate works out the costs at a plan's size.
type Estimate struct {
	Plan     Plan
	Budget   Budget
	Protocol Protocol
	Limits   StoreLimits
	Slopes   Slopes
}

// NewEstimate returns the estimate for the first letter's size.
func NewEstimate(s Slopes) Estimate {
	return Estimate{
		Plan: Letter1(), Budget: Letter1Budget(), Protocol: Defaults(), Limits: PlatformStore(), Slopes: s,
	}
}

// garbageFactor is the process's heap over its live heap, under Go's default
// setting.
const garbageFactor = 2

// Cells returns the figures by the key that the template uses.
func (e Estimate) Cells() map[string]Cell {
	cells := make(map[string]Cell)
	for _, part := range []map[string]Cell{
		e.balancerCells(), e.agentCells(), e.clientCells(), e.storeCells(), e.burstCells(),
	} {
		for key, c := range part {
			cells[key] = c
		}
	}
	return cells
}

// traffic is bytes a second in each direction, headers included.
type traffic struct{ sent, received float64 }

func (t traffic) sum() float64 { return t.sent + t.received }

func (t traffic) plus(o traffic) traffic { return traffic{t.sent + o.sent, t.received + o.received} }

func (t traffic) String() string {
	return formatBytes(t.sent) + "/s out, " + formatBytes(t.received) + "/s in"
}

// messages returns the traffic of messages over sessions. Each is one segment
// that is acknowledged by one without data.
func messages(sentPerSecond, receivedPerSecond, bytes float64) traffic {
	segments := tcpHeaders * (sentPerSecond + receivedPerSecond)
	return traffic{sentPerSecond*bytes + segments, receivedPerSecond*bytes + segments}
}

// sessionTraffic is what n sessions cost without any message: a ping of each
// side, and its answer.
func (e Estimate) sessionTraffic(n float64) traffic {
	perSecond := 2 * n / e.Protocol.KeepAliveInterval
	return traffic{perSecond * (pingBytes + tcpHeaders), perSecond * (pingBytes + tcpHeaders)}
}

// digestTraffic is the digests sent and received over numbers of sessions.
// Only balancers send them.
func (e Estimate) digestTraffic(sent, received float64) traffic {
	interval := e.Protocol.DigestInterval
	return messages(sent/interval, received/interval, e.Slopes.Frames.Digest.Stream)
}

// memberChanges returns the record changes of the whole fleet in a second.
func (e Estimate) memberChanges() float64 {
	perDay := e.Plan.RestartsPerDay*e.Protocol.EventsPerRestart + e.Plan.HostFailuresPerDay*e.Protocol.EventsPerLoss
	return perDay / secondsPerDay
}

// configChanges returns the configuration changes in a second.
func (e Estimate) configChanges() float64 { return e.Plan.ChangesPerDay / secondsPerDay }

// agentSessions and peerSessions are a balancer's sessions with agents and
// with balancers, opened by either side.
func (e Estimate) agentSessions() float64 {
	return e.Protocol.Watchers * float64(e.Plan.Targets) / float64(e.Plan.Balancers)
}

func (e Estimate) peerSessions() float64 { return 2 * e.Protocol.PeerSessions }

// trafficCell judges both directions together.
func (e Estimate) trafficCell(t traffic, mechanism string, source Source) Cell {
	c := Cell{Figure: t.String() + ", " + formatBytes(t.sum()) + "/s together", Mechanism: mechanism, Source: source}
	return c.limited("7 KB/s", t.sum(), e.Budget.Traffic)
}

// memoryCell judges live memory.
func (e Estimate) memoryCell(bytes float64, mechanism string, source Source) Cell {
	return Cell{Figure: formatBytes(bytes), Mechanism: mechanism, Source: source}.limited("64 MB", bytes, e.Budget.Memory)
}

// processorCell judges a share of one core.
func (e Estimate) processorCell(share float64, mechanism string, source Source) Cell {
	return Cell{Figure: formatShare(share), Mechanism: mechanism, Source: source}.limited("4.4 %", share, e.Budget.Processor)
}
