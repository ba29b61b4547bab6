package steering

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one end of a flow: an IPv4 address and a port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an IPv4 address and port. It returns false for any other
// address.
func EndpointOf(a netip.AddrPort) (Endpoint, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: a.Port()}, true
}

// AddrPort converts the endpoint to the type of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String formats the endpoint as ip:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Flow identifies a flow by the caller's endpoint and the address that it called.
type Flow struct {
	Caller  Endpoint
	Address Endpoint
}

// String formats the flow for log lines, as caller>address.
func (f Flow) String() string { return f.Caller.String() + ">" + f.Address.String() }

var errFlow = errors.New("want caller>address, each IP:PORT with IPv4")

// ParseFlow parses the format of String.
func ParseFlow(s string) (Flow, error) {
	caller, address, ok := strings.Cut(s, ">")
	if !ok {
		return Flow{}, errFlow
	}
	from, err := netip.ParseAddrPort(caller)
	if err != nil {
		return Flow{}, errFlow
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return Flow{}, errFlow
	}
	x, ok := EndpointOf(from)
	y, ok2 := EndpointOf(to)
	if !ok || !ok2 {
		return Flow{}, errFlow
	}
	return Flow{Caller: x, Address: y}, nil
}

// Hash returns the hash by which agents are ranked for the flow.
func (f Flow) Hash() uint64 {
	var b [12]byte
	copy(b[0:], f.Caller.IP[:])
	binary.BigEndian.PutUint16(b[4:], f.Caller.Port)
	copy(b[6:], f.Address.IP[:])
	binary.BigEndian.PutUint16(b[10:], f.Address.Port)
	return xxhash.Sum64(b[:])
}

// Flags are the control bits of a segment.
type Flags uint8

// The control bits of a segment.
const (
	FlagOpen     Flags = 1 << iota // opens a flow (SYN)
	FlagAck                        // Ack is valid
	FlagClose                      // the sender has no more data (FIN)
	FlagReset                      // the flow is aborted (RST)
	FlagReturned                   // a target that does not hold the flow returned the segment
)

// Has reports whether all bits of mask are set.
func (f Flags) Has(mask Flags) bool { return f&mask == mask }

// Segment is one datagram of a flow with its decoded header.
type Segment struct {
	Flow  Flow
	Flags Flags
	// Seq and Ack count bytes, as in TCP. In a segment that opens a flow, Ack counts
	// the copies that the caller sent before.
	Seq, Ack uint32
	// Len is the number of data bytes.
	Len int
	// Raw is the datagram as received.
	Raw []byte
}

// AckNumber returns the acknowledgement number, 0 if the segment has none.
func (s *Segment) AckNumber() uint32 {
	if s.Flags.Has(FlagAck) {
		return s.Ack
	}
	return 0
}

// IsOpening reports whether the segment opens a flow.
func (s *Segment) IsOpening() bool { return s.Flags&(FlagOpen|FlagAck) == FlagOpen }
