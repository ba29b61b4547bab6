package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 4
	flagFIN     = 8
	flagACK     = 16
	flagRST     = 32
	flagBounced = 128
)

const headSize = 36

// Packet is a packet of the platform.
type Packet struct {
	Src, Dst netip.AddrPort
	Flags    byte
	Seq, Ack uint32
	Data     []byte
	// Raw is the packet as received.
	Raw []byte
}

// Encode returns the packet's bytes.
func (p *Packet) Encode() []byte {
	raw := make([]byte, headSize+len(p.Data))
	dst, src := p.Dst.Addr().As4(), p.Src.Addr().As4()
	copy(raw[0:], dst[:])
	binary.BigEndian.PutUint16(raw[4:], p.Src.Port())
	copy(raw[6:], src[:])
	binary.BigEndian.PutUint16(raw[10:], p.Dst.Port())
	binary.BigEndian.PutUint16(raw[12:], uint16(len(p.Data)))
	binary.BigEndian.PutUint32(raw[14:], p.Seq)
	binary.BigEndian.PutUint32(raw[18:], p.Ack)
	raw[22] = p.Flags
	copy(raw[headSize:], p.Data)
	binary.BigEndian.PutUint32(raw[28:], sumOf(raw))
	return raw
}

// sumOf returns the sum over all fields but echo, pad, the flag BOUNCED and the sum itself.
func sumOf(raw []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-ins"))
	_, _ = h.Write(raw[:22])
	_, _ = h.Write([]byte{raw[22] &^ flagBounced})
	_, _ = h.Write(raw[headSize:])
	return h.Sum32()
}

// Decode decodes a packet. Intact reports that its sender wrote it so.
func Decode(raw []byte) (p Packet, intact bool) {
	if len(raw) < headSize || int(binary.BigEndian.Uint16(raw[12:])) != len(raw)-headSize {
		return p, false
	}
	p = Packet{
		Src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[6:10])), binary.BigEndian.Uint16(raw[4:])),
		Dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[0:4])), binary.BigEndian.Uint16(raw[10:])),
		Flags: raw[22], Seq: binary.BigEndian.Uint32(raw[14:]), Ack: binary.BigEndian.Uint32(raw[18:]),
		Data: raw[headSize:], Raw: raw,
	}
	return p, binary.BigEndian.Uint32(raw[28:]) == sumOf(raw)
}
