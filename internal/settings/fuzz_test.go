package settings

import (
	"errors"
	"testing"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// FuzzParse checks that any input is either accepted completely or rejected with
// findings, and never causes a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBalancer))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := new(Balancer)
		err := parse("fuzz.toml", data, balancerSchema(b))
		var found *findings.Error
		if err != nil && !errors.As(err, &found) {
			t.Fatalf("not findings: %v", err)
		}
		if err == nil && (b.Node == "" || len(b.Secrets) == 0 || len(b.Store.Endpoints) == 0) {
			t.Fatalf("accepted without required keys: %+v", b)
		}
	})
}
