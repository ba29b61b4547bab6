package agent

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/wire"
)

// receiver reads the datagrams of balancers and other agents from the data socket.
type receiver struct {
	conn    *net.UDPConn
	keys    wire.Keys
	tryPost func(core.Event) bool

	// rejected counts datagrams that are truncated, of another protocol or not
	// authentic; dropped counts those for which the node's queue was full.
	rejected, dropped atomic.Uint64
}

// run reads until the socket is closed.
func (r *receiver) run() {
	buf := make([]byte, wire.MaxDatagramSize+1)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.handleDatagram(buf[:n], from)
	}
}

func (r *receiver) handleDatagram(datagram []byte, from netip.AddrPort) {
	header, payload, err := r.keys.Decode(datagram)
	if err != nil {
		r.rejected.Add(1)
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !r.tryPost(core.DatagramReceived{From: from, Header: header, Payload: bytes.Clone(payload)}) {
		r.dropped.Add(1)
	}
}
