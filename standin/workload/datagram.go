package workload

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxDatagram bounds the datagrams of flow services, in bytes.
const MaxDatagram = 1200

// ErrBadEcho reports a datagram that is not an echo of a target.
var ErrBadEcho = errors.New("datagram is not a target's echo")

// Echo is a target's answer to one datagram of a flow.
type Echo struct {
	// Target is the name of the target that answered.
	Target string
	// Sequence counts the datagrams that the target has had of this flow,
	// from 1.
	Sequence uint64
	// Payload is the datagram that was answered.
	Payload []byte
}

// Encode returns the echo as a datagram: the target, a line feed, the
// sequence in decimal, a line feed, the payload.
func (e *Echo) Encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s\n%d\n", e.Target, e.Sequence)
	b.Write(e.Payload)
	return b.Bytes()
}

// DecodeEcho parses a datagram that Encode made. The payload aliases the
// datagram. It returns ErrBadEcho for anything else.
func DecodeEcho(datagram []byte) (Echo, error) {
	parts := bytes.SplitN(datagram, []byte{'\n'}, 3)
	if len(parts) != 3 {
		return Echo{}, ErrBadEcho
	}
	sequence, err := strconv.ParseUint(string(parts[1]), 10, 64)
	if err != nil {
		return Echo{}, ErrBadEcho
	}
	return Echo{Target: string(parts[0]), Sequence: sequence, Payload: parts[2]}, nil
}
