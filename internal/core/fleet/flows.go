package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/routing"
	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// Strategy is a method of routing flows to targets.
type Strategy string

// The strategies that are compared.
const (
	// StrategyHome is the method of this load balancer: homes and holders.
	StrategyHome Strategy = "home"
	// StrategyFlowTable is rendezvous hashing with a flow table in each balancer.
	StrategyFlowTable Strategy = "flow table"
	// StrategyHashOnly is stateless rendezvous hashing.
	StrategyHashOnly Strategy = "hash only"
)

const (
	quicInitialByte     = 0xc0 // first byte of a QUIC Initial packet
	quicShortHeaderByte = 0x40 // first byte of a QUIC short header packet

	// openRetryInterval is how often a caller resends an opening datagram that
	// got no response.
	openRetryInterval = 500 * time.Millisecond
	// idleTimeout is the time without a response after which the caller closes
	// an established flow, like QUIC's idle timeout.
	idleTimeout = 30 * time.Second
)

// Flow is one caller's flow.
type Flow struct {
	Key model.FlowKey
	// Target is the agent whose target responded first; nil until then.
	Target    *Agent
	Broken    bool
	Abandoned bool
	Reason    string
	// WorstStall is the longest time between responses, less the send interval.
	WorstStall   time.Duration
	interval     time.Duration
	lastResponse time.Time
	closed       bool
}

// Established reports whether a target has responded to the flow.
func (fl *Flow) Established() bool { return fl.Target != nil }

// OpenFlow starts a flow that sends a datagram every interval.
func (f *Fleet) OpenFlow(interval time.Duration) *Flow {
	i := len(f.Flows)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), uint16(20000+i%40000))
	fl := &Flow{Key: model.FlowKey{Caller: caller, Service: ServiceName.ID()}, interval: interval}
	f.Flows = append(f.Flows, fl)
	f.flowByKey[fl.Key] = fl
	f.sendNextDatagram(fl)
	return fl
}

// CloseFlow closes a flow at its caller and its target.
func (f *Fleet) CloseFlow(fl *Flow) {
	fl.closed = true
	if a := fl.Target; a != nil && a.connections[fl.Key] {
		delete(a.connections, fl.Key)
		f.stepAgent(a, core.FlowClosed{Flow: fl.Key})
	}
}

// sendNextDatagram sends the flow's next datagram and schedules the one after it.
func (f *Fleet) sendNextDatagram(fl *Flow) {
	if fl.closed || fl.Broken || fl.Abandoned {
		return
	}
	f.checkIdleTimeout(fl)
	payload, wait := []byte{quicShortHeaderByte}, fl.interval
	if !fl.Established() {
		payload, wait = []byte{quicInitialByte}, openRetryInterval
	}
	f.sendViaBalancer(fl, payload)
	f.schedule(wait, func() { f.sendNextDatagram(fl) })
}

// checkIdleTimeout fails an established flow whose idle timeout has expired.
func (f *Fleet) checkIdleTimeout(fl *Flow) {
	if fl.Established() && f.now.Sub(fl.lastResponse) > idleTimeout {
		f.failFlow(fl, "no response")
	}
}

// failFlow marks an established flow as broken, or as abandoned if operators have
// taken its failure domain out of service.
func (f *Fleet) failFlow(fl *Flow, reason string) {
	fl.Reason = reason
	domain := fl.Target.Member.Domain
	if f.config.DomainOut(domain) || fl.Target.node.Board().Self.DomainOut {
		fl.Abandoned = true
		return
	}
	fl.Broken = true
}

// sendViaBalancer sends a datagram through a random balancer that is up.
func (f *Fleet) sendViaBalancer(fl *Flow, payload []byte) {
	var up []*Balancer
	for _, b := range f.Balancers {
		if !b.Down {
			up = append(up, b)
		}
	}
	b := up[f.rand.IntN(len(up))]
	f.Cost.Packets++
	if to, ok := f.pickAgent(b, fl.Key, payload); ok {
		f.transmit(netip.AddrPort{}, to, wire.Header{Kind: wire.KindPacket, Service: fl.Key.Service, Caller: fl.Key.Caller}, payload)
	}
}

// pickAgent returns the address of the agent to which a balancer sends a datagram.
func (f *Fleet) pickAgent(b *Balancer, key model.FlowKey, payload []byte) (netip.AddrPort, bool) {
	v := b.node.Board().Routes.Views[key.Service]
	if v == nil {
		return netip.AddrPort{}, false
	}
	if f.options.Strategy == StrategyHome {
		home := routing.Home(v, key.Hash())
		if home == nil {
			return netip.AddrPort{}, false
		}
		return home.Member.DataAddr, true
	}
	return f.pickBaselineAgent(b, v, key, payload)
}

// pickBaselineAgent picks the highest ranked candidate that accepts new flows. With
// a flow table, a balancer keeps its first choice while that is a candidate.
func (f *Fleet) pickBaselineAgent(b *Balancer, v *core.View, key model.FlowKey, payload []byte) (netip.AddrPort, bool) {
	if f.options.Strategy == StrategyFlowTable && payload[0] == quicShortHeaderByte {
		for _, c := range v.Candidates {
			if c.Member.Node == b.flowTable[key] {
				return c.Member.DataAddr, true
			}
		}
	}
	for _, c := range routing.Rank(v, key.Hash(), nil) {
		if c.AcceptsNewFlows {
			b.flowTable[key] = c.Member.Node
			return c.Member.DataAddr, true
		}
	}
	return netip.AddrPort{}, false
}

// deliverToBaseline handles a datagram at an agent of the baselines: an opening
// datagram creates a connection, any other datagram of an unknown flow is reset.
func (f *Fleet) deliverToBaseline(a *Agent, key model.FlowKey, payload []byte) {
	fl := f.flowByKey[key]
	if a.node.Board().Self.DomainOut {
		f.closeConnection(a, key)
		return
	}
	if payload[0] == quicInitialByte {
		a.connections[key] = true
	}
	if a.connections[key] {
		f.handleResponse(a, fl)
		return
	}
	if fl.Established() && !fl.closed {
		f.failFlow(fl, "reset by "+string(a.Member.Node))
	}
}

// deliverDatagram delivers a datagram to the agent's target.
func (f *Fleet) deliverDatagram(a *Agent, key model.FlowKey, payload []byte) {
	fl := f.flowByKey[key]
	isOpening := payload[0] == quicInitialByte || f.options.Mode == model.ModeFlow
	if isOpening && !a.connections[key] {
		a.connections[key] = true
		f.schedule(2*f.options.Delay, func() { f.stepAgent(a, core.FlowEstablished{Flow: key}) })
	}
	if !a.connections[key] {
		return
	}
	if limit := f.connectionLimit(a); a.node.Board().Flows.Local > limit {
		f.recordViolation("%s holds %d flows, limit %d", a.Member.Node, a.node.Board().Flows.Local, limit)
	}
	if a.node.Board().Self.DomainOut {
		f.recordViolation("%s delivered a datagram in a failure domain that is out", a.Member.Node)
	}
	f.handleResponse(a, fl)
}

func (f *Fleet) connectionLimit(*Agent) int { return f.options.Connections }

// handleResponse handles a response at the caller. The first one determines the
// flow's target. A response of another target fails the flow in mode flow, and in
// other modes if the first target no longer has the connection.
func (f *Fleet) handleResponse(a *Agent, fl *Flow) {
	if fl.closed || fl.Broken || fl.Abandoned {
		return
	}
	if fl.Target == nil {
		fl.Target = a
	}
	if fl.Target == a {
		if !fl.lastResponse.IsZero() {
			fl.WorstStall = max(fl.WorstStall, f.now.Sub(fl.lastResponse)-fl.interval)
		}
		fl.lastResponse = f.now
		return
	}
	if f.options.Mode == model.ModeFlow || !fl.Target.connections[fl.Key] {
		f.failFlow(fl, fmt.Sprintf("moved from %s to %s", fl.Target.Member.Node, a.Member.Node))
	}
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now())+fmt.Sprintf(format, args...))
}
