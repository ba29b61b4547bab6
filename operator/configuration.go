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

// Configuration collects failure domains, services and the findings about
// them. Create one with New; the zero value is not usable.
type Configuration struct {
	origin   findings.Place
	header   []string
	domains  []*Domain
	services []*Service
	found    findings.List
}

// New returns an empty configuration. Each header line is printed as a
// comment at the top of the file.
func New(header ...string) *Configuration {
	return &Configuration{origin: callSite(1), header: header}
}

// File validates the configuration and returns it as a declaration.File, or
// returns a *findings.Error with all findings, each with the place of the
// builder call that caused it.
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

// Print validates the configuration and returns it as TOML, for review and for
// amaranthctl apply, or returns a *findings.Error.
func (c *Configuration) Print() ([]byte, error) {
	file, err := c.File()
	if err != nil {
		return nil, err
	}
	return declaration.Print(file, c.header...), nil
}

// Run prints the TOML to stdout, or the findings to stderr, and returns the
// exit code of the program.
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

// callSite returns the place of a call into this package: the call of the
// function that is skip stack frames above the one that calls callSite. The
// file is given with its parent directory only, so that findings are the same
// on every machine.
func callSite(skip int) findings.Place {
	_, file, line, ok := runtime.Caller(skip + 1)
	if !ok {
		return findings.Place{}
	}
	dir := filepath.Base(filepath.Dir(file))
	return findings.Place{File: dir + "/" + filepath.Base(file), Line: line}
}
