package direct

import (
	"net"
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// SegmentCodec encodes and decodes the segments of callers and targets.
type SegmentCodec interface {
	// DecodeFromCaller decodes a segment that a caller sent. The result
	// refers to raw.
	DecodeFromCaller(raw []byte) (steering.Segment, error)
	// DecodeFromTarget decodes a segment that a target sent or returned. The
	// result refers to raw.
	DecodeFromTarget(raw []byte) (steering.Segment, error)
	// SetOrigin writes to a segment the address of the balancer that forwarded it.
	SetOrigin(raw []byte, balancer netip.Addr)
	// Origin returns the address that SetOrigin wrote.
	Origin(raw []byte) netip.Addr
	// ClearReturned restores a returned segment for delivery to another target.
	ClearReturned(raw []byte)
	// AppendReset appends a segment that resets a flow towards its caller.
	AppendReset(buf []byte, f steering.Flow, seq uint32) []byte
}

const (
	// maxDatagram is the longest datagram that is read, in bytes: a segment of
	// 1,236 bytes with a message header, and headroom.
	maxDatagram = 2048
	// socketBuffer is the size of a socket's kernel buffers, in bytes: they hold a
	// second of traffic at 1,000 segments per second.
	socketBuffer = 1 << 20
)

// listenUDP opens a UDP socket with enlarged kernel buffers.
func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// With a smaller buffer, bursts are only dropped sooner.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// readDatagrams calls handle for each datagram until the socket is closed.
func readDatagrams(conn *net.UDPConn, handle func(raw []byte, from netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
