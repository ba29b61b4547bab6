package declaration

import (
	"bytes"
	"errors"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// document is a TOML file as a list of tables, each value with its line.
type document struct {
	file   string
	tables []table
}

// table is one [[name]] table.
type table struct {
	name    string
	line    int
	entries []entry
}

// entry is one key of a table with its value.
type entry struct {
	key   string
	line  int
	value value
}

// value is a TOML value. Elements is set for arrays.
type value struct {
	kind     unstable.Kind
	text     string
	line     int
	elements []value
}

// reader walks the expressions of a TOML file.
type reader struct {
	parser   unstable.Parser
	newlines []int
	doc      document
	found    *findings.List
	// skipping is set inside a table that is not part of the format.
	skipping bool
}

// readDocument splits the data into tables. Findings about the structure are
// added to the list; it returns false if the rest can't be read.
func readDocument(file string, data []byte, found *findings.List) (document, bool) {
	if err := checkSyntax(file, data, found); err != nil {
		return document{}, false
	}
	r := reader{newlines: newlineOffsets(data), doc: document{file: file}, found: found}
	r.parser.Reset(data)
	for r.parser.NextExpression() {
		r.expression(r.parser.Expression())
	}
	return r.doc, true
}

// checkSyntax reports invalid TOML: syntax errors and repeated keys.
func checkSyntax(file string, data []byte, found *findings.List) error {
	var ignored map[string]any
	err := toml.Unmarshal(data, &ignored)
	if err == nil {
		return nil
	}
	place := findings.Place{File: file}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		place.Line, _ = decode.Position()
		place.Key = strings.Join(decode.Key(), ".")
	}
	found.Addf(place, "invalid TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
	return err
}

// expression takes one table header or one key with its value.
func (r *reader) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.ArrayTable:
		r.arrayTable(node)
	case unstable.Table:
		key, line := r.key(node)
		r.skipping = true
		r.reject(line, key)
	case unstable.KeyValue:
		r.keyValue(node)
	}
}

// arrayTable starts a [[domain]] or [[service]] table.
func (r *reader) arrayTable(node *unstable.Node) {
	key, line := r.key(node)
	r.skipping = key != TableDomain && key != TableService
	if r.skipping {
		r.reject(line, key)
		return
	}
	r.doc.tables = append(r.doc.tables, table{name: key, line: line})
}

// keyValue adds an entry to the current table.
func (r *reader) keyValue(node *unstable.Node) {
	if r.skipping {
		return
	}
	key, line := r.key(node)
	if len(r.doc.tables) == 0 {
		r.reject(line, key)
		return
	}
	current := &r.doc.tables[len(r.doc.tables)-1]
	current.entries = append(current.entries, entry{key: key, line: line, value: r.value(node.Value(), line)})
}

// reject reports a table or top-level key that is not part of the format.
func (r *reader) reject(line int, key string) {
	place := findings.Place{File: r.doc.file, Line: line, Key: key}
	if key == TableDomain || key == TableService {
		r.found.Addf(place, "write each as a table [[%s]]", key)
		return
	}
	r.found.Addf(place, "unknown; a file has the tables [[domain]] and [[service]]")
}

// key returns the dotted key of a header or entry and its line.
func (r *reader) key(node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if line == 0 {
			line = r.line(part.Raw)
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

// value copies a value out of the parser. A value whose own place is unknown
// takes the line of its key.
func (r *reader) value(node *unstable.Node, line int) value {
	if node.Raw.Length > 0 {
		line = r.line(node.Raw)
	}
	v := value{kind: node.Kind, text: string(node.Data), line: line}
	if node.Kind != unstable.Array {
		return v
	}
	for it := node.Children(); it.Next(); {
		if it.Node().Kind == unstable.Comment {
			continue
		}
		v.elements = append(v.elements, r.value(it.Node(), line))
	}
	return v
}

// line returns the line of a range, counting from 1.
func (r *reader) line(at unstable.Range) int {
	index, _ := slices.BinarySearch(r.newlines, int(at.Offset))
	return index + 1
}

// newlineOffsets returns the offsets of all line ends.
func newlineOffsets(data []byte) []int {
	var offsets []int
	for start := 0; ; {
		index := bytes.IndexByte(data[start:], '\n')
		if index < 0 {
			return offsets
		}
		offsets = append(offsets, start+index)
		start += index + 1
	}
}
