package steerwire

import (
	"math"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
)

// The first byte of a demand holds the priority and these bits.
const (
	priorityMask   = 0x0f
	openMayDelay   = 0x40
	openLastResort = 0x80
)

// The second byte holds these bits and, above them, the objective's code. Nodes of earlier
// versions read only the bits.
const (
	openNonIdempotent = 1 << iota
	openSingleRequest
	objectiveShift = iota
)

// The code of an objective is logarithmic: code 1 is minObjective, and four steps double it.
// A request's remaining objective needs to be known to about a tenth.
const (
	minObjective       = 10 * time.Millisecond
	codesPerDoubling   = 4
	maxObjectiveCode   = 1<<(8-objectiveShift) - 1
	firstObjectiveCode = 1
)

// carriesDemand reports whether messages of the kind carry the demand of a route.
func carriesDemand(k steering.MessageKind) bool {
	switch k {
	case steering.MessageOpen, steering.MessageForward, steering.MessageProbe, steering.MessageTrial:
		return true
	case steering.MessageRefused, steering.MessageMissed, steering.MessageHeld, steering.MessageQuery,
		steering.MessageReply, steering.MessagePing, steering.MessagePong:
	}
	return false
}

func encodeDemand(m *steering.Message) (byte, byte) {
	first := min(m.Demand.Priority, steering.NumPriorities-1) | boolByte(m.LastResort)*openLastResort | boolByte(m.MayDelay)*openMayDelay
	second := boolByte(m.NonIdempotent)*openNonIdempotent | boolByte(m.SingleRequest)*openSingleRequest
	return first, second | encodeObjective(m.Demand.Objective)<<objectiveShift
}

func decodeDemand(m *steering.Message, first, second byte) {
	m.Demand = steering.Demand{
		Priority:  min(first&priorityMask, steering.NumPriorities-1),
		Objective: decodeObjective(second >> objectiveShift),
	}
	m.LastResort, m.MayDelay = first&openLastResort != 0, first&openMayDelay != 0
	m.NonIdempotent, m.SingleRequest = second&openNonIdempotent != 0, second&openSingleRequest != 0
}

// encodeObjective returns the code of an objective, 0 if there is none.
func encodeObjective(d time.Duration) byte {
	if d <= 0 {
		return 0
	}
	steps := codesPerDoubling * math.Log2(float64(d)/float64(minObjective))
	return byte(min(max(math.Round(steps), 0)+firstObjectiveCode, maxObjectiveCode))
}

func decodeObjective(code byte) time.Duration {
	if code == 0 {
		return 0
	}
	return time.Duration(float64(minObjective) * math.Exp2(float64(code-firstObjectiveCode)/codesPerDoubling))
}
