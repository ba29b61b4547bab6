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

// document is a parsed TOML file: its tables, keys and values with their
// lines.
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

// entry is one key-value pair of a table.
type entry struct {
	key   string
	line  int
	value value
}

// value is a TOML value; elements is set for arrays only.
type value struct {
	kind     unstable.Kind
	text     string
	line     int
	elements []value
}

// documentReader builds a document from the expressions of a TOML file.
type documentReader struct {
	parser         unstable.Parser
	newlineOffsets []int
	doc            document
	found          *findings.List
	// inRejectedTable is set while the entries belong to a table that is not
	// part of the format; they are skipped.
	inRejectedTable bool
}

// readDocument parses the data into tables and adds findings about the
// structure to the list. It returns false if the data is not valid TOML.
func readDocument(file string, data []byte, found *findings.List) (document, bool) {
	if err := checkSyntax(file, data, found); err != nil {
		return document{}, false
	}
	r := documentReader{newlineOffsets: findNewlines(data), doc: document{file: file}, found: found}
	r.parser.Reset(data)
	for r.parser.NextExpression() {
		r.readExpression(r.parser.Expression())
	}
	return r.doc, true
}

// checkSyntax adds a finding and returns an error if the data is not valid
// TOML because of a syntax error or a repeated key.
func checkSyntax(file string, data []byte, found *findings.List) error {
	var ignored map[string]any
	err := toml.Unmarshal(data, &ignored)
	if err == nil {
		return nil
	}
	place := findings.Place{File: file}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		place.Line, _ = decodeErr.Position()
		place.Key = strings.Join(decodeErr.Key(), ".")
	}
	found.Addf(place, "invalid TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
	return err
}

// readExpression handles one table header or one key-value pair.
func (r *documentReader) readExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.ArrayTable:
		r.readArrayTable(node)
	case unstable.Table:
		key, line := r.readKey(node)
		r.inRejectedTable = true
		r.reject(line, key)
	case unstable.KeyValue:
		r.readKeyValue(node)
	}
}

// readArrayTable starts a [[domain]] or [[service]] table and rejects others.
func (r *documentReader) readArrayTable(node *unstable.Node) {
	key, line := r.readKey(node)
	r.inRejectedTable = key != TableDomain && key != TableService
	if r.inRejectedTable {
		r.reject(line, key)
		return
	}
	r.doc.tables = append(r.doc.tables, table{name: key, line: line})
}

// readKeyValue adds an entry to the current table.
func (r *documentReader) readKeyValue(node *unstable.Node) {
	if r.inRejectedTable {
		return
	}
	key, line := r.readKey(node)
	if len(r.doc.tables) == 0 {
		r.reject(line, key)
		return
	}
	current := &r.doc.tables[len(r.doc.tables)-1]
	current.entries = append(current.entries, entry{key: key, line: line, value: r.readValue(node.Value(), line)})
}

// reject adds a finding for a table or top-level key that is not part of the
// format.
func (r *documentReader) reject(line int, key string) {
	place := findings.Place{File: r.doc.file, Line: line, Key: key}
	if key == TableDomain || key == TableService {
		r.found.Addf(place, "write each as a table [[%s]]", key)
		return
	}
	r.found.Addf(place, "unknown; a file has the tables [[domain]] and [[service]]")
}

// readKey returns the dotted key of a table header or key-value pair, and its
// line.
func (r *documentReader) readKey(node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if line == 0 {
			line = r.lineOf(part.Raw)
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line
}

// readValue copies a value out of the parser, whose nodes are valid only until
// the next expression. A value without a position of its own gets the line
// passed in, that of its key or enclosing array.
func (r *documentReader) readValue(node *unstable.Node, line int) value {
	if node.Raw.Length > 0 {
		line = r.lineOf(node.Raw)
	}
	v := value{kind: node.Kind, text: string(node.Data), line: line}
	if node.Kind != unstable.Array {
		return v
	}
	for it := node.Children(); it.Next(); {
		if it.Node().Kind == unstable.Comment {
			continue
		}
		v.elements = append(v.elements, r.readValue(it.Node(), line))
	}
	return v
}

// lineOf returns the line where a range starts, counted from 1.
func (r *documentReader) lineOf(position unstable.Range) int {
	index, _ := slices.BinarySearch(r.newlineOffsets, int(position.Offset))
	return index + 1
}

// findNewlines returns the offsets of all newline characters.
func findNewlines(data []byte) []int {
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
