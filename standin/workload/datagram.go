package workload

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxDatagramSize is the maximum size of a flow service's datagrams, in bytes.
const MaxDatagramSize = 1200

// ErrBadEcho reports a datagram that is not an echo of a target.
var ErrBadEcho = errors.New("datagram is not a target's echo")

// Echo is a target's response to one datagram of a flow.
type Echo struct {
	// Target is the name of the responding target.
	Target string
	// Sequence is the number of datagrams received on this flow so far,
	// counted from 1.
	Sequence uint64
	// Payload is the datagram received from the caller.
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

// DecodeEcho parses a datagram made by Encode. The payload aliases the
// datagram. It returns ErrBadEcho for any other datagram.
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
