package target

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

const (
	// maxRequestDatagram bounds the datagrams that a target accepts, in bytes.
	maxRequestDatagram = 2048
	// flowIdleTimeout is how long a flow without datagrams counts towards the
	// cap on flows.
	flowIdleTimeout = time.Minute
)

// flow is what a target knows of one sender of datagrams.
type flow struct {
	sequence uint64
	last     time.Time
}

// flowTable holds the flows of a target.
type flowTable struct {
	cap   int
	flows map[netip.AddrPort]*flow
}

// find returns the flow of the sender, a new one if need be, or nil above the
// cap.
func (f *flowTable) find(from netip.AddrPort, now time.Time) *flow {
	if known, ok := f.flows[from]; ok {
		return known
	}
	if len(f.flows) >= f.cap {
		f.expire(now)
	}
	if len(f.flows) >= f.cap {
		return nil
	}
	added := &flow{}
	f.flows[from] = added
	return added
}

// expire drops idle flows.
func (f *flowTable) expire(now time.Time) {
	for from, known := range f.flows {
		if now.Sub(known.last) > flowIdleTimeout {
			delete(f.flows, from)
		}
	}
}

// echo answers datagrams until the socket closes. Datagrams above the cap on
// flows are dropped and counted as violations.
func (t *Target) echo(conn *net.UDPConn) error {
	table := flowTable{cap: t.cfg.Connections, flows: make(map[netip.AddrPort]*flow)}
	buf := make([]byte, maxRequestDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if t.cut.Load() {
			continue
		}
		t.echoOne(conn, &table, from, buf[:n])
	}
}

// echoOne answers one datagram.
func (t *Target) echoOne(conn *net.UDPConn, table *flowTable, from netip.AddrPort, payload []byte) {
	now := time.Now()
	known := table.find(from, now)
	if known == nil {
		t.check(t.ledger.violation(workload.Violation{
			Kind: workload.ViolationConnections, Target: t.cfg.Name, At: now,
			Detail: "flow above the cap",
		}))
		return
	}
	known.sequence++
	known.last = now
	t.ledger.count(func(s *workload.TargetStats) {
		s.Datagrams++
		s.Flows = len(table.flows)
	})
	answer := workload.Echo{Target: t.cfg.Name, Sequence: known.sequence, Payload: payload}
	if _, err := conn.WriteToUDPAddrPort(answer.Encode(), from); err != nil {
		t.log.Log("msg", "echo not sent", "err", err)
	}
}
