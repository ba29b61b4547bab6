package model

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ServiceID is the hash of a service's name. It identifies the service in
// datagram headers, so that a reused port is not mistaken for the service that
// had it before.
type ServiceID uint64

// ID returns the identifier of the service on the wire.
func (n ServiceName) ID() ServiceID {
	return ServiceID(xxhash.Sum64String(string(n)))
}

// FlowKey identifies a flow: the caller's address and the service.
type FlowKey struct {
	Caller  netip.AddrPort
	Service ServiceID
}

// flowKeyBytes is the size of the hashed form of a FlowKey: a 16-byte
// address, the caller's port and the service.
const flowKeyBytes = 16 + 2 + 8

// Hash returns the placement hash of the flow, which is the same in every
// process.
func (k FlowKey) Hash() uint64 {
	var buf [flowKeyBytes]byte
	addr := k.Caller.Addr().As16()
	copy(buf[:16], addr[:])
	binary.BigEndian.PutUint16(buf[16:], k.Caller.Port())
	binary.BigEndian.PutUint64(buf[18:], uint64(k.Service))
	return xxhash.Sum64(buf[:])
}

// String returns the flow as "caller>service", the service in hexadecimal.
func (k FlowKey) String() string {
	return k.Caller.String() + ">" + strconv.FormatUint(uint64(k.Service), 16)
}
