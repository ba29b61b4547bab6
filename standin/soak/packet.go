package soak

import (
	"encoding/binary"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/platform"
)

// Bits of a packet's flags.
const (
	bitSyn     = 4
	bitFin     = 8
	bitAck     = 16
	bitRst     = 32
	bitBounced = 128
)

// encode returns a packet from one end of a flow to the other.
func encode(from, to steering.Endpoint, flags byte, seq, ack uint32, data []byte) []byte {
	raw := make([]byte, platform.HeaderSize, platform.HeaderSize+len(data))
	copy(raw[0:], to.IP[:])
	binary.BigEndian.PutUint16(raw[4:], from.Port)
	copy(raw[6:], from.IP[:])
	binary.BigEndian.PutUint16(raw[10:], to.Port)
	binary.BigEndian.PutUint16(raw[12:], uint16(len(data)))
	binary.BigEndian.PutUint32(raw[14:], seq)
	binary.BigEndian.PutUint32(raw[18:], ack)
	raw[22] = flags
	return append(raw, data...)
}
