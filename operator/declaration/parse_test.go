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

// TestFindings compares the findings of each invalid file with its golden file.
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
				t.Fatalf("got error %v, want *findings.Error", err)
			}
			goldie.New(t).Assert(t, name, []byte(found.Error()+"\n"))
		})
	}
}

func TestParseAppliesDefaultsAndRecordsLines(t *testing.T) {
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
		t.Errorf("the address is on line %d, want 5", got)
	}
}

func TestParseFileSizeLimitAndSpeed(t *testing.T) {
	if _, err := Parse("big.toml", make([]byte, MaxFileBytes+1)); err == nil {
		t.Error("a file larger than MaxFileBytes was accepted")
	}
	var b bytes.Buffer
	b.WriteString("[[domain]]\nname = \"a\"\nregion = \"r\"\n")
	const serviceCount = 5000
	for i := range serviceCount {
		fmt.Fprintf(&b, "[[service]]\nname = \"s-%d\"\nmode = \"flow\"\naddress = \"127.0.0.1:%d\"\n", i, i+1)
		b.WriteString("domains = [\"a\"]\ntargets = [\"t\"]\nmax_slots = 1\nmax_connections = 1\n")
	}
	start := time.Now()
	file, err := Parse("many.toml", b.Bytes())
	if err != nil || len(file.Services) != serviceCount {
		t.Fatal(err)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("parsing %d services took %s", serviceCount, elapsed)
	}
}

// FuzzParse checks that no input causes a panic, that every finding has a file
// and line, and that the output of Print for an accepted file parses and prints
// to the same bytes.
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
		reparsed, err := Parse("printed.toml", printed)
		if err != nil {
			t.Fatalf("the printed file does not parse: %v\n%s", err, printed)
		}
		if reprinted := Print(reparsed); !bytes.Equal(printed, reprinted) {
			t.Errorf("printing the parsed output gave other bytes:\n%s\n%s", printed, reprinted)
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
			t.Errorf("finding without a file or line: %s", finding)
		}
	}
}
