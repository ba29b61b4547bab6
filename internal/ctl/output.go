package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// outputFormat selects the format of the output.
type outputFormat string

const (
	formatTable outputFormat = "table"
	formatJSON  outputFormat = "json"
)

func (f outputFormat) isValid() bool {
	return f == formatTable || f == formatJSON
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints rows of text in aligned columns.
type table struct {
	rows [][]string
}

// newTable returns a table with the column headings.
func newTable(headings ...string) *table {
	return &table{rows: [][]string{headings}}
}

// addRow adds a row. Empty cells are printed as "-".
func (t *table) addRow(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	t.rows = append(t.rows, cells)
}

// print writes the table.
func (t *table) print(w io.Writer) error {
	const padding = 2
	tabs := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(tabs, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tabs.Flush()
}

// formatTime formats a time in UTC with a resolution of one second; the zero
// time is an empty text.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

// timeOrUnknown formats a time for use in a sentence.
func timeOrUnknown(at time.Time) string {
	return cmp.Or(formatTime(at), "an unknown time")
}

// pluralize formats a count with its noun: "1 node", "2 nodes".
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// formatYesNo formats a boolean as "yes" or "no".
func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
