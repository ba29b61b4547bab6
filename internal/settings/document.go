package settings

import (
	"bytes"
	"errors"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// document is a parsed TOML file: its values as a tree, and the line of each key
// and table by dotted path.
type document struct {
	file   string
	values map[string]any
	lines  map[string]int
}

// parseDocument parses the contents of a file. A syntax error is reported as a
// single finding, as the rest of the file cannot be interpreted.
func parseDocument(file string, data []byte) (*document, error) {
	doc := &document{file: file, values: make(map[string]any), lines: make(map[string]int)}
	if err := toml.Unmarshal(data, &doc.values); err != nil {
		return nil, syntaxError(file, err)
	}
	doc.indexLines(data)
	return doc, nil
}

func syntaxError(file string, err error) error {
	place := findings.Place{File: file}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		place.Line, _ = decodeError.Position()
		place.Key = strings.Join(decodeError.Key(), ".")
	}
	var list findings.List
	list.Addf(place, "is not valid TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
	return list.Err()
}

// place returns the place of a key in the file; an absent key has no line.
func (d *document) place(key string) findings.Place {
	return findings.Place{File: d.file, Line: d.line(key), Key: key}
}

// line returns the line of the key, or else of the nearest list or table that
// contains it; 0 if there is none.
func (d *document) line(key string) int {
	key, _, _ = strings.Cut(key, "[")
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
}

// indexLines records the line of each key and table header.
func (d *document) indexLines(data []byte) {
	var parser unstable.Parser
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, offset := keyPath(node.Key())
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = path + "."
		case unstable.KeyValue:
			path = prefix + path
		}
		d.lines[path] = line
	}
}

// keyPath returns the dotted path of a key and the offset of its first part.
func keyPath(it unstable.Iterator) (string, uint32) {
	var parts []string
	var offset uint32
	for it.Next() {
		if len(parts) == 0 {
			offset = it.Node().Raw.Offset
		}
		parts = append(parts, keyPart(string(it.Node().Data)))
	}
	return strings.Join(parts, "."), offset
}

// keyPart quotes a name that contains a dot, so that it is not taken for a path.
func keyPart(name string) string {
	if strings.Contains(name, ".") {
		return quote(name)
	}
	return name
}

// leaf is a value of the document with its dotted key.
type leaf struct {
	key   string
	value any
}

// leaves returns the values in the order of their dotted keys. A table that is
// not in tables is returned whole, as one leaf.
func (d *document) leaves(tables map[string]bool) []leaf {
	out := appendLeaves(nil, "", d.values, tables)
	slices.SortFunc(out, func(a, b leaf) int { return strings.Compare(a.key, b.key) })
	return out
}

func appendLeaves(out []leaf, prefix string, values map[string]any, tables map[string]bool) []leaf {
	for name, value := range values {
		key := prefix + keyPart(name)
		table, ok := value.(map[string]any)
		if ok && tables[key] {
			out = appendLeaves(out, key+".", table, tables)
			continue
		}
		out = append(out, leaf{key, value})
	}
	return out
}
