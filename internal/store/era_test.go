package store

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRevisionHoldsEraAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(FirstEra, MaxEra).Draw(t, "era")
		number := rapid.Int64Range(0, 1<<numberBits-1).Draw(t, "number")
		r := NewRevision(era, number)
		if r.Era() != era || r.Number() != number {
			t.Fatalf("revision %d has era %d and number %d", r, r.Era(), r.Number())
		}
		if era < MaxEra && NewRevision(era+1, 0) <= r {
			t.Fatalf("the next era does not begin after %d", r)
		}
	})
}
