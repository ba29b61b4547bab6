package revision_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "amaranthwheel.example/amaranthwheel/internal/fixedseed"
	"amaranthwheel.example/amaranthwheel/internal/revision"
)

func drawRevision(t *rapid.T, label string) revision.Revision {
	era := rapid.Uint64Range(revision.FirstEra, math.MaxUint64).Draw(t, label+" era")
	return revision.New(era, rapid.Int64Range(0, math.MaxInt64).Draw(t, label+" number"))
}

// A revision keeps any era and any number that a store may count, and a later era comes after
// every number of an earlier one.
func TestRevisionHoldsEraAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := drawRevision(t, "x"), drawRevision(t, "y")
		if revision.New(x.Era(), x.Number()) != x {
			t.Fatalf("%v has era %d and number %d", x, x.Era(), x.Number())
		}
		want := x.Era() < y.Era() || x.Era() == y.Era() && x.Number() < y.Number()
		if x.Before(y) != want || y.After(x) != want || (x.Compare(y) < 0) != want {
			t.Fatalf("%v before %v: %v, want %v", x, y, x.Before(y), want)
		}
		later := revision.Later(x, y)
		if later.Before(x) || later.Before(y) || later != x && later != y {
			t.Fatalf("the later of %v and %v is %v", x, y, later)
		}
		if !x.After(revision.Revision{}) {
			t.Fatalf("%v is not after the zero value", x)
		}
	})
}

func TestRevisionAtTheBounds(t *testing.T) {
	last := revision.New(math.MaxUint64, math.MaxInt64)
	ordered := []revision.Revision{
		{}, revision.New(1, 1), revision.New(1, 1<<44), revision.New(1, 1<<53+1), revision.New(1, math.MaxInt64),
		revision.New(2, 1), revision.New(1<<18+1, 1), revision.New(1<<18+2, 1), last,
	}
	for i, r := range ordered[1:] {
		if !r.After(ordered[i]) || r.Before(ordered[i]) {
			t.Errorf("%v is not after %v", r, ordered[i])
		}
	}
	if got := last.String(); got != "18446744073709551615:9223372036854775807" {
		t.Errorf("the last revision is %q", got)
	}
	if got := revision.New(1, 7).String(); got != "7" {
		t.Errorf("a revision of the first era is %q", got)
	}
}
