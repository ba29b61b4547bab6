package dissemination_test

import (
	"flag"
	"os"
	"testing"
)

// Defaults of the property tests, so that CI draws the same cases every time.
// Flags on the command line take precedence.
const (
	propertySeed   = "1"
	propertyChecks = "50"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks} {
		if !setFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
