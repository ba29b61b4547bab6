package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	flagFIN     = 8
	flagSYN     = 4
	flagACK     = 16
	flagRST     = 32
	flagBounced = 128

	headerSize = 36
	maxData    = 1200
)

// end is an address and a port of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func (e end) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String()
}

// flowID names a flow by its client's end and the route's.
type flowID struct{ client, route end }

func (f flowID) String() string { return f.client.String() + ">" + f.route.String() }

// packet is a decoded packet.
type packet struct {
	src, dst end
	flags    byte
	seq, ack uint32
	sum      uint32
	echo     [4]byte
	data     []byte
}

func (p *packet) has(flags byte) bool { return p.flags&flags == flags }

// keyedSum covers all fields except echo, pad and BOUNCED.
func keyedSum(raw []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("review key"))
	h.Write(raw[:22])
	h.Write([]byte{raw[22] &^ flagBounced})
	h.Write(raw[headerSize:])
	return h.Sum32() | 1
}

func (p *packet) encode() []byte {
	raw := make([]byte, headerSize, headerSize+len(p.data))
	copy(raw[0:], p.dst.ip[:])
	binary.BigEndian.PutUint16(raw[4:], p.src.port)
	copy(raw[6:], p.src.ip[:])
	binary.BigEndian.PutUint16(raw[10:], p.dst.port)
	binary.BigEndian.PutUint16(raw[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(raw[14:], p.seq)
	binary.BigEndian.PutUint32(raw[18:], p.ack)
	raw[22] = p.flags
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw[28:], keyedSum(raw))
	return raw
}

// decode reports false for bytes that are no packet.
func decode(raw []byte) (packet, bool) {
	if len(raw) < headerSize || int(binary.BigEndian.Uint16(raw[12:])) != len(raw)-headerSize {
		return packet{}, false
	}
	return packet{
		src:   end{[4]byte(raw[6:10]), binary.BigEndian.Uint16(raw[4:])},
		dst:   end{[4]byte(raw[0:4]), binary.BigEndian.Uint16(raw[10:])},
		flags: raw[22], seq: binary.BigEndian.Uint32(raw[14:]), ack: binary.BigEndian.Uint32(raw[18:]),
		sum: binary.BigEndian.Uint32(raw[28:]), echo: [4]byte(raw[32:36]), data: raw[headerSize:],
	}, true
}

// isWritten reports whether a sender wrote the packet so: its sum holds.
func isWritten(raw []byte) bool {
	return binary.BigEndian.Uint32(raw[28:]) == keyedSum(raw)
}

// sent is a packet that has not been acknowledged.
type sent struct {
	packet  packet
	endSeq  uint32
	due     int64 // Unix nanoseconds
	backoff int64
	copies  int
}

const (
	firstRetransmit = int64(200e6)
	lastRetransmit  = int64(1600e6)
	// maxRetransmits is the number of retransmissions after which an endpoint gives up.
	maxRetransmits = 8
)
