package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// TestFindings compares the findings of each bad file with its golden file.
func TestFindings(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(filepath.Base(path), data)
			if name == "good" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var found *findings.Error
			if !errors.As(err, &found) {
				t.Fatalf("got error %v", err)
			}
			goldie.New(t).Assert(t, name, []byte(found.Error()+"\n"))
		})
	}
}

func TestDefaultsAndOrder(t *testing.T) {
	data, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	file, err := Parse("good.toml", data)
	if err != nil {
		t.Fatal(err)
	}
	s := file.Services[0]
	if s.IdleTimeout != DefaultIdleTimeout || s.RequestTimeout != DefaultRequestTimeout || s.MaxConnections != 2000 {
		t.Errorf("read %+v", s)
	}
	if got := s.Origin.Keys[KeyAddress].Line; got != 5 {
		t.Errorf("the address is on line %d", got)
	}
}

func TestLargeFileIsRefusedAndParsedInTime(t *testing.T) {
	if _, err := Parse("big.toml", make([]byte, MaxFileBytes+1)); err == nil {
		t.Error("a file over the limit was read")
	}
	var b bytes.Buffer
	b.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	const services = 5000
	for i := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"s-%d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, i+1)
		b.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	start := time.Now()
	file, err := Parse("many.toml", b.Bytes())
	if err != nil || len(file.Services) != services {
		t.Fatal(err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d services took %s", services, took)
	}
}

// FuzzParse checks that no input panics, that every finding has a place, and
// that what Parse accepts prints and parses back to the same print.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*.toml")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("fuzz.toml", data)
		if err != nil {
			requirePlaces(t, err)
			return
		}
		printed := Print(file)
		again, err := Parse("printed.toml", printed)
		if err != nil {
			t.Fatalf("the print does not parse: %v\n%s", err, printed)
		}
		if second := Print(again); !bytes.Equal(printed, second) {
			t.Errorf("the print changed:\n%s\n%s", printed, second)
		}
	})
}

func requirePlaces(t *testing.T, err error) {
	t.Helper()
	var found *findings.Error
	if !errors.As(err, &found) {
		t.Fatalf("error without findings: %v", err)
	}
	for _, finding := range found.Findings {
		if finding.Place.File == "" || finding.Place.Line < 1 {
			t.Errorf("finding without a place: %s", finding)
		}
	}
}
