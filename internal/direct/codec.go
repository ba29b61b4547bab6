package direct

import (
	"net"
	"net/netip"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// SegmentCodec codes the segments of callers and targets.
type SegmentCodec interface {
	// DecodeFromCaller decodes a segment that a caller wrote; it keeps raw.
	DecodeFromCaller(raw []byte) (steering.Segment, error)
	// DecodeFromTarget decodes a segment that a target sent or returned; it keeps raw.
	DecodeFromTarget(raw []byte) (steering.Segment, error)
	// SetOrigin notes in a segment which balancer it came from.
	SetOrigin(raw []byte, balancer netip.Addr)
	// Origin returns what SetOrigin noted.
	Origin(raw []byte) netip.Addr
	// ClearReturned makes a returned segment fit for another target.
	ClearReturned(raw []byte)
	// AppendReset appends a segment that resets a flow towards its caller.
	AppendReset(buf []byte, f steering.Flow, seq uint32) []byte
}

const (
	// maxDatagram is the longest datagram that is read, in bytes: a segment of
	// 1,236 bytes with a message header, and room.
	maxDatagram = 2048
	// socketBuffer is the size of a socket's kernel buffers, in bytes: a
	// second of 1,000 segments.
	socketBuffer = 1 << 20
)

// listenUDP opens a socket for datagrams.
func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// A smaller buffer only drops sooner under a burst.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// readAll calls handle for each datagram until the socket is closed.
func readAll(conn *net.UDPConn, handle func(raw []byte, from netip.AddrPort)) {
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
