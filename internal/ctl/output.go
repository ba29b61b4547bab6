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

// outputFormat selects how answers are printed.
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

// table collects rows of text and prints them in aligned columns.
type table struct {
	rows [][]string
}

// newTable returns a table with the headings.
func newTable(headings ...string) *table {
	return &table{rows: [][]string{headings}}
}

// add adds a row; an empty cell is printed as "-".
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

// formatTime prints a time in UTC to the second, or nothing if it is zero.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

// timeOrUnknown prints a time within a sentence.
func timeOrUnknown(at time.Time) string {
	return cmp.Or(formatTime(at), "an unknown time")
}

// count prints a number of things: "1 node", "2 nodes".
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// formatYesNo prints a boolean.
func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
