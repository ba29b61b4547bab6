package settings

import (
	"fmt"
	"io"
	"os"
	"strings"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// maxFileBytes bounds a settings file, in bytes.
const maxFileBytes = 1 << 20

// load reads a file into the fields of the schema.
func load(path string, s schema) error {
	data, err := readBounded(path)
	if err != nil {
		var list findings.List
		list.Addf(findings.Place{File: path}, "cannot be read: %v", err)
		return list.Err()
	}
	return parse(path, data, s)
}

// readBounded reads a file of at most maxFileBytes.
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

// parse sets the schema's fields from the bytes of a file and returns
// everything that is wrong.
func parse(path string, data []byte, s schema) error {
	doc, err := parseDocument(path, data)
	if err != nil {
		return err
	}
	r := &reading{doc: doc, present: make(map[string]bool)}
	r.readLeaves(s.fields)
	r.reportMissing(s.fields)
	for _, check := range s.checks {
		check(r)
	}
	return r.list.Err()
}

// reading is the state of one parse.
type reading struct {
	doc     *document
	list    findings.List
	present map[string]bool
}

// reportf adds a finding at the key.
func (r *reading) reportf(key, format string, args ...any) {
	r.list.Addf(r.doc.place(key), format, args...)
}

func (r *reading) readLeaves(fields []field) {
	byKey := make(map[string]field)
	tables := make(map[string]bool)
	for _, f := range fields {
		byKey[f.Name] = f
		if dot := strings.LastIndexByte(f.Name, '.'); dot >= 0 {
			tables[f.Name[:dot]] = true
		}
	}
	for _, l := range r.doc.leaves(tables) {
		f, known := byKey[l.key]
		switch {
		case known:
			r.present[l.key] = true
			f.set(r, l.value)
		case tables[l.key]:
			r.reportf(l.key, "must be a table, not %s", typeName(l.value))
		default:
			r.reportf(l.key, "unknown key")
		}
	}
}

func (r *reading) reportMissing(fields []field) {
	for _, f := range fields {
		if f.Required && !r.present[f.Name] {
			r.reportf(f.Name, "is missing; expected %s", f.Type)
		}
	}
}
