package revision

const (
	// packedNumberBits is the number of low bits of a packed revision that hold its number.
	// The others count the eras after the first.
	packedNumberBits = 44
	maxPackedNumber  = 1<<packedNumberBits - 1
	maxPackedEra     = 1<<(63-packedNumberBits) + FirstEra - 1
)

// Pack returns a revision in 64 bits, as earlier versions of the nodes store and send it. It
// returns 0, which means none, and false for one that does not fit.
func (r Revision) Pack() (packed uint64, ok bool) {
	switch {
	case r.IsZero():
		return 0, true
	case r.era < FirstEra || r.era > maxPackedEra || r.number <= 0 || r.number > maxPackedNumber:
		return 0, false
	}
	return (r.era-FirstEra)<<packedNumberBits + uint64(r.number), true
}

// Unpack returns the revision of a packed one.
func Unpack(packed uint64) Revision {
	if packed == 0 {
		return Revision{}
	}
	return New(packed>>packedNumberBits+FirstEra, int64(packed&maxPackedNumber))
}
