package store

// FirstEra is the era of a store that was never restored from a copy.
const FirstEra = 1

// numberBits is the number of bits of a revision below its era: enough for a million
// changes a second for half a year.
const numberBits = 44

// MaxEra is the largest era that a revision can hold.
const MaxEra = 1 << 18

// NewRevision returns the revision with a number in an era. Revisions of a later era are
// larger, also if their numbers are smaller. In the first era they equal their numbers.
func NewRevision(era uint64, number int64) Revision {
	return Revision((era-FirstEra)<<numberBits) + Revision(number)
}

// Era returns the era of a revision of a PollingStore.
func (r Revision) Era() uint64 { return uint64(r)>>numberBits + FirstEra }

// Number returns the revision as the store counts it.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }
