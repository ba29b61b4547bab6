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

// receiver reads datagrams of balancers and other agents from the data socket.
type receiver struct {
	conn  *net.UDPConn
	keys  wire.Keys
	offer func(core.Event) bool

	// rejected counts foreign, truncated and wrongly signed datagrams; dropped
	// counts those that found the node's queue full.
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
		r.datagram(buf[:n], from)
	}
}

func (r *receiver) datagram(datagram []byte, from netip.AddrPort) {
	header, payload, err := r.keys.Decode(datagram)
	if err != nil {
		r.rejected.Add(1)
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !r.offer(core.DatagramReceived{From: from, Header: header, Payload: bytes.Clone(payload)}) {
		r.dropped.Add(1)
	}
}
