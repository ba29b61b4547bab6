package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net"
)

// The packet of the platform's page PROTOCOL: a header of 36 bytes, big-endian, and data.
const (
	headerSize = 36
	flagSYN    = 4
	flagFIN    = 8
	flagACK    = 16
	flagRST    = 32
	flagBounce = 128
)

// endpoint is an IPv4 address with a port.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func endpointOf(ip string, port int) endpoint {
	return endpoint{[4]byte(net.ParseIP(ip).To4()), uint16(port)}
}

func (e endpoint) String() string { return fmt.Sprintf("%s:%d", net.IP(e.ip[:]), e.port) }

// packet is a decoded packet.
type packet struct {
	src, dst endpoint
	seq, ack uint32
	flags    byte
	data     []byte
}

// sumKey stands for the platform's key, which the system does not know.
var sumKey = []byte("review-rig")

// checksum covers all fields except echo, pad and BOUNCED.
func checksum(raw []byte) uint32 {
	var b []byte
	b = append(b, sumKey...)
	b = append(b, raw[:22]...)
	b = append(b, raw[22]&^flagBounce)
	b = append(b, raw[headerSize:]...)
	return crc32.ChecksumIEEE(b)
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
	binary.BigEndian.PutUint32(raw[28:], checksum(raw))
	return raw
}

// decode returns the packet and whether its sum is right. The system's own resets have
// the sum 0.
func decode(raw []byte) (p packet, sumOK bool, ok bool) {
	if len(raw) < headerSize {
		return p, false, false
	}
	p.dst = endpoint{[4]byte(raw[0:4]), binary.BigEndian.Uint16(raw[10:])}
	p.src = endpoint{[4]byte(raw[6:10]), binary.BigEndian.Uint16(raw[4:])}
	p.seq, p.ack = binary.BigEndian.Uint32(raw[14:]), binary.BigEndian.Uint32(raw[18:])
	p.flags = raw[22]
	p.data = append([]byte(nil), raw[headerSize:]...)
	return p, binary.BigEndian.Uint32(raw[28:]) == checksum(raw), true
}

// isSystemReset reports whether a packet is a reset of the system's own.
func isSystemReset(raw []byte) bool {
	return len(raw) == headerSize && raw[22] == flagRST && binary.BigEndian.Uint32(raw[28:]) == 0
}
