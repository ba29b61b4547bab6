package agent

import (
	"net"
	"sync/atomic"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// sender encapsulates datagrams and sends them to other agents. It is used only
// by the node's loop.
type sender struct {
	conn   *net.UDPConn
	keys   wire.Keys
	buf    [wire.MaxDatagramSize]byte
	failed atomic.Uint64
}

func (s *sender) send(e core.SendDatagram) {
	size := wire.HeaderSize + len(e.Payload)
	if size > wire.MaxDatagramSize {
		s.failed.Add(1)
		return
	}
	copy(s.buf[wire.HeaderSize:], e.Payload)
	s.keys.Encode(s.buf[:], &e.Header, len(e.Payload))
	if _, err := s.conn.WriteToUDPAddrPort(s.buf[:size], e.To); err != nil {
		s.failed.Add(1)
	}
}
