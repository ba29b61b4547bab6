// Package wire implements the encapsulation of callers' datagrams between
// balancers and agents, and of the messages that agents send each other.
//
// Every datagram starts with a fixed-size header that ends in a SipHash-2-4
// message authentication code (MAC), keyed with the cluster key. The MAC covers
// the header and the payload's length, and in messages between agents also the
// payload; a caller's payload is protected by its own protocol. Datagrams from
// outside the cluster are rejected before any other field is used.
package wire

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPacket is a caller's datagram that a balancer sends to the flow's
	// home.
	KindPacket Kind = iota + 1
	// KindForward is a caller's datagram that the home forwards to the flow's
	// holder.
	KindForward
	// KindPlacement is a flow placement message (package placementpb).
	KindPlacement
	// KindClaim is an idempotency key message (package claimpb).
	KindClaim
	kindLimit
)

const (
	magic   = 0xA57C
	version = 1

	macOffset = 2 + 1 + 1 + 1 + 1 + 8 + 16 + 2 + 8
	// HeaderSize is the size of the encoded header in bytes.
	HeaderSize = macOffset + 8
	// MaxDatagramSize is the maximum size of a datagram in bytes, including the
	// header.
	MaxDatagramSize = 2048
	// MaxHops is the maximum number of times that one datagram is forwarded
	// between agents.
	MaxHops = 4
)

// Errors that Decode returns.
var (
	ErrTruncated       = errors.New("datagram shorter than its header")
	ErrUnknownProtocol = errors.New("datagram has an unknown protocol, version or kind")
	ErrMAC             = errors.New("datagram's authentication code does not match")
	ErrTooLong         = errors.New("datagram exceeds the size limit")
)

// Header is the decoded header of a datagram.
type Header struct {
	Kind Kind
	// Hops is the number of agents that have forwarded the datagram.
	Hops    uint8
	Service model.ServiceID
	// Caller is the caller's address, or the zero value in messages that belong
	// to no flow.
	Caller netip.AddrPort
	// ViewDigest identifies the sender's set of candidates for the service.
	ViewDigest uint64
}

// Flow returns the flow that the datagram belongs to.
func (h *Header) Flow() model.FlowKey {
	return model.FlowKey{Caller: h.Caller, Service: h.Service}
}

// Key is the MAC key for datagrams between nodes of one cluster.
type Key struct{ k0, k1 uint64 }

// NewKey derives the datagram key from the cluster's secret.
func NewKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("amaranthwheel datagram v1\x00"), secret...))
	return Key{binary.LittleEndian.Uint64(sum[:8]), binary.LittleEndian.Uint64(sum[8:16])}
}

// Keys are the MAC keys of a cluster, more than one while its secret is being
// rotated. The first key signs; all keys verify. There is at least one.
type Keys []Key

// NewKeys derives the datagram keys from the cluster's secrets.
func NewKeys(secrets [][]byte) Keys {
	keys := make(Keys, len(secrets))
	for i, secret := range secrets {
		keys[i] = NewKey(secret)
	}
	return keys
}

// Encode calls the function Encode with the first key.
func (k Keys) Encode(buf []byte, h *Header, payloadSize int) {
	Encode(k[0], buf, h, payloadSize)
}

// Decode calls the function Decode with each key until the MAC matches.
func (k Keys) Decode(datagram []byte) (Header, []byte, error) {
	for _, key := range k[:len(k)-1] {
		if h, payload, err := Decode(key, datagram); !errors.Is(err, ErrMAC) {
			return h, payload, err
		}
	}
	return Decode(k[len(k)-1], datagram)
}

// Encode writes the header to the start of the buffer. The payload, of the given
// length, must already be in the buffer at offset HeaderSize.
func Encode(key Key, buf []byte, h *Header, payloadSize int) {
	_ = buf[HeaderSize+payloadSize-1]
	binary.BigEndian.PutUint16(buf[0:], magic)
	buf[2] = version
	buf[3] = byte(h.Kind)
	buf[4] = h.Hops
	buf[5] = 0
	if h.Caller.Addr().Is4() {
		buf[5] = 4
	}
	binary.BigEndian.PutUint64(buf[6:], uint64(h.Service))
	addr := h.Caller.Addr().As16()
	copy(buf[14:30], addr[:])
	binary.BigEndian.PutUint16(buf[30:], h.Caller.Port())
	binary.BigEndian.PutUint64(buf[32:], h.ViewDigest)
	binary.BigEndian.PutUint64(buf[macOffset:], key.mac(buf, buf[HeaderSize:HeaderSize+payloadSize]))
}

// Decode verifies a datagram and returns its header and payload. The payload
// shares memory with the datagram.
func Decode(key Key, datagram []byte) (Header, []byte, error) {
	if len(datagram) < HeaderSize {
		return Header{}, nil, ErrTruncated
	}
	if len(datagram) > MaxDatagramSize {
		return Header{}, nil, ErrTooLong
	}
	if binary.BigEndian.Uint16(datagram) != magic || datagram[2] != version {
		return Header{}, nil, ErrUnknownProtocol
	}
	kind := Kind(datagram[3])
	if kind == 0 || kind >= kindLimit {
		return Header{}, nil, ErrUnknownProtocol
	}
	payload := datagram[HeaderSize:]
	if binary.BigEndian.Uint64(datagram[macOffset:]) != key.mac(datagram, payload) {
		return Header{}, nil, ErrMAC
	}
	addr := netip.AddrFrom16([16]byte(datagram[14:30]))
	if datagram[5] == 4 {
		addr = addr.Unmap()
	}
	return Header{
		Kind:       kind,
		Hops:       datagram[4],
		Service:    model.ServiceID(binary.BigEndian.Uint64(datagram[6:])),
		Caller:     netip.AddrPortFrom(addr, binary.BigEndian.Uint16(datagram[30:])),
		ViewDigest: binary.BigEndian.Uint64(datagram[32:]),
	}, payload, nil
}

// mac returns the MAC of the header in buf and the payload.
func (k Key) mac(buf, payload []byte) uint64 {
	sum := siphash.Hash(k.k0, k.k1, buf[:macOffset])
	if kind := Kind(buf[3]); kind == KindPlacement || kind == KindClaim {
		return sum ^ siphash.Hash(k.k1, k.k0, payload)
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(payload)))
	return sum ^ siphash.Hash(k.k1, k.k0, length[:])
}

// IsQUICInitial reports whether a caller's datagram starts with a QUIC Initial
// packet (RFC 9000, section 17.2.2).
func IsQUICInitial(payload []byte) bool {
	const (
		longHeaderTypeMask = 0xf0
		initialPacket      = 0xc0
	)
	return len(payload) > 0 && payload[0]&longHeaderTypeMask == initialPacket
}
