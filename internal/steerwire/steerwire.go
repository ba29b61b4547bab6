// Package steerwire encodes the datagrams between balancers and agents of package
// steering: a fixed header, followed by fields that depend on the kind or by the
// caller's segment.
package steerwire

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// version is the first byte of every datagram. A node drops other versions.
const version = 0xA2

// headerSize is the length of version, kind, verdict, refusal and service, in bytes. A
// message with a caller's segment has the bits of demand.go in place of verdict and refusal.
const headerSize = 8

// Bits of a ping.
const (
	pingUnlisted = 1 << iota
	pingListSettled
)

var (
	errTooShort           = errors.New("datagram is too short")
	errUnsupportedVersion = errors.New("datagram has an unsupported version")
	errUnknownKind        = errors.New("datagram has an unknown kind")
)

// DecodeSegment decodes a caller's segment.
type DecodeSegment func(raw []byte) (steering.Segment, error)

// Append appends the encoded message.
func Append(buf []byte, m *steering.Message) []byte {
	verdict, refusal := byte(m.Verdict), byte(m.Refusal)
	if carriesDemand(m.Kind) {
		verdict, refusal = encodeDemand(m)
	}
	buf = append(buf, version, byte(m.Kind), verdict, refusal)
	buf = binary.BigEndian.AppendUint32(buf, uint32(m.Service))
	switch m.Kind {
	case steering.MessageQuery, steering.MessageReply, steering.MessageHeld:
		buf = appendFlow(buf, m.Flow)
		buf = binary.BigEndian.AppendUint32(buf, m.Ack)
		buf = appendPacked(buf, m.MemberRevision)
		buf = binary.BigEndian.AppendUint16(buf, m.Agents)
		return appendWhole(buf, m.MemberRevision)
	case steering.MessagePing:
		buf = appendLimits(buf, &m.Limits)
		buf = append(buf, boolByte(m.Unlisted)*pingUnlisted|boolByte(m.ListSettled)*pingListSettled)
		buf = binary.BigEndian.AppendUint16(buf, m.Agents)
		buf = appendAge(buf, m.ConfirmedAge)
		buf = appendMilliseconds(buf, m.TypicalRequestTime)
		return appendWhole(buf, m.Limits.Revision, m.Limits.MemberRevision)
	case steering.MessagePong:
		return appendStatus(buf, &m.Status)
	case steering.MessageOpen, steering.MessageForward, steering.MessageProbe, steering.MessageTrial,
		steering.MessageRefused, steering.MessageMissed:
	}
	return append(buf, m.Segment.Raw...)
}

func appendFlow(buf []byte, f steering.Flow) []byte {
	for _, e := range []steering.Endpoint{f.Caller, f.Address} {
		buf = append(buf, e.IP[:]...)
		buf = binary.BigEndian.AppendUint16(buf, e.Port)
	}
	return buf
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func appendLimits(buf []byte, l *steering.Limits) []byte {
	buf = appendPacked(buf, l.Revision)
	buf = appendPacked(buf, l.MemberRevision)
	buf = append(buf, boolByte(l.DomainOut))
	return binary.BigEndian.AppendUint32(buf, math.Float32bits(l.ColdOpensPerSecond))
}

func appendStatus(buf []byte, s *steering.Status) []byte {
	buf = binary.BigEndian.AppendUint64(buf, s.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, uint32(s.Service))
	buf = append(buf, byte(s.Refusal))
	buf = binary.BigEndian.AppendUint16(buf, s.Slots)
	buf = binary.BigEndian.AppendUint16(buf, s.InFlight)
	buf = binary.BigEndian.AppendUint16(buf, s.RequestsPerSecond)
	buf = binary.BigEndian.AppendUint32(buf, s.Flows)
	buf = appendPacked(buf, s.Revision)
	buf = binary.BigEndian.AppendUint16(buf, s.Balancers)
	buf = append(buf, s.SingleRequestLimit)
	buf = appendAge(buf, s.ConfirmedAge)
	for _, n := range s.Ahead {
		buf = binary.BigEndian.AppendUint16(buf, n)
	}
	buf = appendMilliseconds(buf, s.RequestTime)
	buf = binary.BigEndian.AppendUint16(buf, s.Concurrency)
	return appendWhole(buf, s.Revision)
}

// appendMilliseconds appends a duration in milliseconds, at least 1 unless it is 0.
func appendMilliseconds(buf []byte, d time.Duration) []byte {
	ms := uint16(min(max(d, 0)/time.Millisecond, math.MaxUint16))
	if d > 0 {
		ms = max(ms, 1)
	}
	return binary.BigEndian.AppendUint16(buf, ms)
}

func decodeMilliseconds(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

// appendAge appends the age of a confirmation, in milliseconds.
func appendAge(buf []byte, age time.Duration) []byte {
	return binary.BigEndian.AppendUint16(buf, uint16(min(max(age, 0), steering.MaxConfirmedAge)/time.Millisecond))
}

// decodeAge decodes the age of a confirmation. Nodes of earlier versions send none.
func decodeAge(body []byte) (time.Duration, error) {
	switch {
	case len(body) == 0:
		return steering.MaxConfirmedAge, nil
	case len(body) < ageSize:
		return 0, errTooShort
	}
	return time.Duration(binary.BigEndian.Uint16(body)) * time.Millisecond, nil
}

// Lengths of the fields after the header, in bytes.
const (
	flowSize   = 26
	pingSize   = 24
	statusSize = 34
	// ageSize is that of the age that follows a ping and a status.
	ageSize = 2
	// typicalSize is that of the request time that follows the age in a ping, demandSize
	// that of the fields that follow it in a status. Nodes of earlier versions send none.
	typicalSize = 2
	demandSize  = 2*steering.NumPriorities + 4
)

// Decode decodes a datagram. The message refers to raw.
func Decode(raw []byte, decode DecodeSegment) (steering.Message, error) {
	var m steering.Message
	if len(raw) < headerSize {
		return m, errTooShort
	}
	if raw[0] != version {
		return m, errUnsupportedVersion
	}
	m.Kind = steering.MessageKind(raw[1])
	if carriesDemand(m.Kind) {
		decodeDemand(&m, raw[2], raw[3])
	} else {
		m.Verdict, m.Refusal = steering.Verdict(raw[2]), steering.Refusal(raw[3])
	}
	m.Service = steering.ServiceID(binary.BigEndian.Uint32(raw[4:]))
	err := decodeBody(&m, raw[headerSize:], decode)
	return m, err
}

func decodeBody(m *steering.Message, body []byte, decode DecodeSegment) error {
	var err error
	switch m.Kind {
	case steering.MessageQuery, steering.MessageReply, steering.MessageHeld:
		if len(body) < flowSize {
			return errTooShort
		}
		m.Flow = steering.Flow{Caller: decodeEndpoint(body), Address: decodeEndpoint(body[6:])}
		m.Ack = binary.BigEndian.Uint32(body[12:])
		m.MemberRevision = decodePacked(body[16:])
		m.Agents = binary.BigEndian.Uint16(body[24:])
		err = decodeWhole(body[flowSize:], &m.MemberRevision)
	case steering.MessagePing:
		if len(body) < pingSize {
			return errTooShort
		}
		m.Limits = steering.Limits{
			Revision:           decodePacked(body),
			MemberRevision:     decodePacked(body[packedSize:]),
			DomainOut:          body[16] != 0,
			ColdOpensPerSecond: math.Float32frombits(binary.BigEndian.Uint32(body[17:])),
		}
		m.Unlisted, m.ListSettled = body[21]&pingUnlisted != 0, body[21]&pingListSettled != 0
		m.Agents = binary.BigEndian.Uint16(body[22:])
		if m.ConfirmedAge, err = decodeAge(body[pingSize:]); err == nil {
			m.TypicalRequestTime, err = decodeTypical(body[min(len(body), pingSize+ageSize):])
		}
		if err == nil {
			err = decodeWhole(body[min(len(body), pingSize+ageSize+typicalSize):], &m.Limits.Revision, &m.Limits.MemberRevision)
		}
	case steering.MessagePong:
		if len(body) < statusSize {
			return errTooShort
		}
		m.Status = steering.Status{
			Incarnation:       binary.BigEndian.Uint64(body),
			Service:           steering.ServiceID(binary.BigEndian.Uint32(body[8:])),
			Refusal:           steering.Refusal(body[12]),
			Slots:             binary.BigEndian.Uint16(body[13:]),
			InFlight:          binary.BigEndian.Uint16(body[15:]),
			RequestsPerSecond: binary.BigEndian.Uint16(body[17:]),
			Flows:             binary.BigEndian.Uint32(body[19:]),
			Revision:          decodePacked(body[23:]),
			Balancers:         binary.BigEndian.Uint16(body[31:]), SingleRequestLimit: body[33],
		}
		if m.Status.ConfirmedAge, err = decodeAge(body[statusSize:]); err == nil {
			err = decodeStatusDemand(&m.Status, body[min(len(body), statusSize+ageSize):])
		}
		if err == nil {
			err = decodeWhole(body[min(len(body), statusSize+ageSize+demandSize):], &m.Status.Revision)
		}
	case steering.MessageOpen, steering.MessageForward, steering.MessageProbe, steering.MessageTrial,
		steering.MessageRefused, steering.MessageMissed:
		m.Segment, err = decode(body)
	default:
		return errUnknownKind
	}
	return err
}

func decodeTypical(b []byte) (time.Duration, error) {
	switch {
	case len(b) == 0:
		return 0, nil
	case len(b) < typicalSize:
		return 0, errTooShort
	}
	return decodeMilliseconds(b), nil
}

func decodeStatusDemand(s *steering.Status, b []byte) error {
	switch {
	case len(b) == 0:
		return nil
	case len(b) < demandSize:
		return errTooShort
	}
	for i := range s.Ahead {
		s.Ahead[i] = binary.BigEndian.Uint16(b[2*i:])
	}
	b = b[2*steering.NumPriorities:]
	s.RequestTime, s.Concurrency = decodeMilliseconds(b), binary.BigEndian.Uint16(b[2:])
	return nil
}

func decodeEndpoint(b []byte) steering.Endpoint {
	return steering.Endpoint{IP: [4]byte(b), Port: binary.BigEndian.Uint16(b[4:])}
}
