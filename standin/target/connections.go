package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// cappedListener closes connections above the target's cap.
type cappedListener struct {
	net.Listener
	t    *Target
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.t.cfg.Connections) {
			l.t.ledger.count(func(s *workload.TargetStats) { s.Connections++ })
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		conn.Close()
		l.t.check(l.t.ledger.violation(workload.Violation{
			Kind: workload.ViolationConnections, Target: l.t.cfg.Name, At: time.Now(),
			Detail: "connection above the cap",
		}))
	}
}

// countedConn gives its place under the cap back when it closes.
type countedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.open.Add(-1)
		c.listener.t.ledger.count(func(s *workload.TargetStats) { s.Connections-- })
	})
	return c.Conn.Close()
}
