package steerwire

import (
	"encoding/binary"
	"errors"

	"amaranthwheel.example/amaranthwheel/internal/revision"
)

const (
	// packedSize is the length of a packed revision, wholeSize that of a whole one.
	packedSize = 8
	wholeSize  = 16
)

var errRevisionRange = errors.New("a revision is out of range")

// appendPacked appends a revision packed, 0 for one that does not fit: to nodes of earlier
// versions that is no revision.
func appendPacked(buf []byte, r revision.Revision) []byte {
	packed, _ := r.Pack()
	return binary.BigEndian.AppendUint64(buf, packed)
}

func decodePacked(b []byte) revision.Revision { return revision.Unpack(binary.BigEndian.Uint64(b)) }

// appendWhole appends the revisions of a message whole, behind its other fields, if one of them
// can't be packed.
func appendWhole(buf []byte, revisions ...revision.Revision) []byte {
	fit := true
	for _, r := range revisions {
		_, ok := r.Pack()
		fit = fit && ok
	}
	if fit {
		return buf
	}
	for _, r := range revisions {
		buf = binary.BigEndian.AppendUint64(buf, r.Era())
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.Number()))
	}
	return buf
}

// decodeWhole replaces revisions by the whole ones that follow a message's other fields, if
// there are any.
func decodeWhole(b []byte, revisions ...*revision.Revision) error {
	switch {
	case len(b) == 0:
		return nil
	case len(b) < wholeSize*len(revisions):
		return errTooShort
	}
	for _, r := range revisions {
		number := int64(binary.BigEndian.Uint64(b[8:]))
		if number < 0 {
			return errRevisionRange
		}
		*r = revision.New(binary.BigEndian.Uint64(b), number)
		b = b[wholeSize:]
	}
	return nil
}
