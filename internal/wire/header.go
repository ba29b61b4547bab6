// Package wire implements the encapsulation that carries callers' datagrams
// from balancers to agents, and the agents' own messages between each other.
//
// Every datagram starts with a fixed header that ends in a SipHash-2-4 code
// keyed with the cluster key. It covers the header and the payload's length, and
// the payload itself in messages between agents; callers' payloads carry the
// protection of their own protocol. Datagrams of foreign senders are rejected
// before anything else is read.
package wire

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"

	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Kind tells what a datagram carries.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPacket is a caller's datagram on its way from a balancer to the
	// flow's home.
	KindPacket Kind = iota + 1
	// KindForward is a caller's datagram on its way from the home to the
	// holder of the flow.
	KindForward
	// KindPlacement is a flow placement message (package placementpb).
	KindPlacement
	// KindClaim is an idempotency key message (package claimpb).
	KindClaim
	kindEnd
)

const (
	magic   = 0xA57C
	version = 1

	macOffset = 2 + 1 + 1 + 1 + 1 + 8 + 16 + 2 + 8
	// HeaderSize is the size of the header in bytes.
	HeaderSize = macOffset + 8
	// MaxDatagramSize bounds a datagram with its header, in bytes.
	MaxDatagramSize = 2048
	// MaxHops bounds how often one datagram is passed between agents.
	MaxHops = 4
)

// Errors that Decode returns.
var (
	ErrTruncated       = errors.New("datagram shorter than its header")
	ErrUnknownProtocol = errors.New("datagram is not of this protocol and version")
	ErrMAC             = errors.New("datagram's authentication code does not match")
	ErrTooLong         = errors.New("datagram exceeds the size limit")
)

// Header is the decoded header of a datagram.
type Header struct {
	Kind Kind
	// Hops counts the agents the datagram has passed.
	Hops    uint8
	Service model.ServiceID
	// Caller is the caller's address; zero in messages that name no flow.
	Caller netip.AddrPort
	// ViewDigest is the digest of the sender's candidates for the service.
	ViewDigest uint64
}

// Flow returns the flow that the datagram belongs to.
func (h *Header) Flow() model.FlowKey {
	return model.FlowKey{Caller: h.Caller, Service: h.Service}
}

// Key authenticates datagrams between nodes of one cluster.
type Key struct{ k0, k1 uint64 }

// NewKey derives the datagram key from the cluster's secret.
func NewKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("amaranthwheel datagram v1\x00"), secret...))
	return Key{binary.LittleEndian.Uint64(sum[:8]), binary.LittleEndian.Uint64(sum[8:16])}
}

// Keys are the keys of a cluster whose secret may be under rotation: the first
// one signs, all verify. There is at least one.
type Keys []Key

// NewKeys derives the datagram keys from the cluster's secrets.
func NewKeys(secrets [][]byte) Keys {
	keys := make(Keys, len(secrets))
	for i, secret := range secrets {
		keys[i] = NewKey(secret)
	}
	return keys
}

// Encode signs with the first key; see the function Encode.
func (k Keys) Encode(buf []byte, h *Header, payload int) {
	Encode(k[0], buf, h, payload)
}

// Decode verifies with any of the keys; see the function Decode.
func (k Keys) Decode(datagram []byte) (Header, []byte, error) {
	for _, key := range k[:len(k)-1] {
		if h, payload, err := Decode(key, datagram); !errors.Is(err, ErrMAC) {
			return h, payload, err
		}
	}
	return Decode(k[len(k)-1], datagram)
}

// Encode writes the header in front of a payload of the given length, which
// stands in the buffer from HeaderSize on.
func Encode(key Key, buf []byte, h *Header, payload int) {
	_ = buf[HeaderSize+payload-1]
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
	binary.BigEndian.PutUint64(buf[macOffset:], key.mac(buf, buf[HeaderSize:HeaderSize+payload]))
}

// Decode checks a datagram and returns its header and payload. The payload
// aliases the datagram.
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
	if kind == 0 || kind >= kindEnd {
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

// mac returns the code over the header in buf and the payload.
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
