package settings

import (
	"fmt"
	"io"
	"os"
	"strings"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// load reads a file and sets the schema's fields from it.
func load(path string, s schema) error {
	data, err := readBounded(path)
	if err != nil {
		var list findings.List
		list.Addf(findings.Place{File: path}, "cannot be read: %v", err)
		return list.Err()
	}
	return parse(path, data, s)
}

// readBounded reads a file and fails if it is larger than maxFileBytes.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// parse sets the schema's fields from the contents of a file. It returns all
// errors as one *findings.Error.
func parse(path string, data []byte, s schema) error {
	doc, err := parseDocument(path, data)
	if err != nil {
		return err
	}
	p := &parseState{doc: doc, present: make(map[string]bool)}
	p.setFields(s.fields)
	p.reportMissing(s.fields)
	for _, check := range s.checks {
		check(p)
	}
	return p.list.Err()
}

// parseState is the state of one parse: the document, the findings so far and
// the keys that the document contains.
type parseState struct {
	doc     *document
	list    findings.List
	present map[string]bool
}

// reportf adds a finding about the key.
func (p *parseState) reportf(key, format string, args ...any) {
	p.list.Addf(p.doc.place(key), format, args...)
}

func (p *parseState) setFields(fields []field) {
	byKey := make(map[string]field)
	tables := make(map[string]bool)
	for _, f := range fields {
		byKey[f.Name] = f
		if dot := strings.LastIndexByte(f.Name, '.'); dot >= 0 {
			tables[f.Name[:dot]] = true
		}
	}
	for _, l := range p.doc.leaves(tables) {
		f, known := byKey[l.key]
		switch {
		case known:
			p.present[l.key] = true
			f.set(p, l.value)
		case tables[l.key]:
			p.reportf(l.key, "must be a table, not %s", typeName(l.value))
		default:
			p.reportf(l.key, "unknown key")
		}
	}
}

func (p *parseState) reportMissing(fields []field) {
	for _, f := range fields {
		if f.Required && !p.present[f.Name] {
			p.reportf(f.Name, "is missing; expected %s", f.Type)
		}
	}
}
