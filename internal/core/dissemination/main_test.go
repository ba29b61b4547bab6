package dissemination_test

import (
	"flag"
	"os"
	"testing"
)

// Defaults of the property tests, so that CI draws the same cases every time.
// Flags on the command line come first.
const (
	propertySeed   = "1"
	propertyChecks = "50"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
