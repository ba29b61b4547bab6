package operator

import (
	"io"
	"path/filepath"
	"runtime"

	"amaranthwheel.example/amaranthwheel/operator/declaration"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Exit codes of Configuration.Run.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitBadInput = 2
)

// Configuration collects regions, failure domains and services, and what is
// wrong with them. The zero value is not ready; use New.
type Configuration struct {
	origin   findings.Place
	header   []string
	domains  []*Domain
	services []*Service
	found    findings.List
}

// New returns an empty configuration. The header is printed as comments at
// the top of the file, one line each.
func New(header ...string) *Configuration {
	return &Configuration{origin: callerPlace(1), header: header}
}

// File returns the declared file, or a *findings.Error with everything that
// is wrong, each finding with the place of the call that declared it.
func (c *Configuration) File() (*declaration.File, error) {
	file := &declaration.File{Origin: c.origin}
	for _, d := range c.domains {
		file.Domains = append(file.Domains, d.declared)
	}
	for _, s := range c.services {
		file.Services = append(file.Services, s.declared)
	}
	var found findings.List
	found.Append(c.found.All())
	found.Append(declaration.Check(file))
	if err := found.Err(); err != nil {
		return nil, err
	}
	return file, nil
}

// Print returns the TOML for review and for amaranthctl apply, or a
// *findings.Error.
func (c *Configuration) Print() ([]byte, error) {
	file, err := c.File()
	if err != nil {
		return nil, err
	}
	return declaration.Print(file, c.header...), nil
}

// Run prints the TOML to stdout, or the findings to stderr, and returns the
// exit code for the program.
func (c *Configuration) Run(stdout, stderr io.Writer) int {
	text, err := c.Print()
	if err != nil {
		io.WriteString(stderr, err.Error()+"\n")
		return ExitBadInput
	}
	if _, err := stdout.Write(text); err != nil {
		io.WriteString(stderr, err.Error()+"\n")
		return ExitFailure
	}
	return ExitOK
}

// callerPlace returns the place of the call into this package, skip frames
// above the function that asks. The file is named by its last directory, so
// that findings read the same on every machine.
func callerPlace(skip int) findings.Place {
	_, file, line, ok := runtime.Caller(skip + 1)
	if !ok {
		return findings.Place{}
	}
	dir := filepath.Base(filepath.Dir(file))
	return findings.Place{File: dir + "/" + filepath.Base(file), Line: line}
}
