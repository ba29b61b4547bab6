package declaration

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Print returns a file as TOML: the header as comments, then the failure
// domains and the services, each sorted by name and with every key. The output
// is deterministic: the order in which failure domains and services were
// declared does not change it, and Parse reads it back.
func Print(f *File, header ...string) []byte {
	var b bytes.Buffer
	for _, line := range header {
		printComment(&b, line)
	}
	for _, d := range sortedByName(f.Domains, func(d Domain) string { return d.Name }) {
		printDomain(&b, d)
	}
	for _, s := range sortedByName(f.Services, func(s Service) string { return s.Name }) {
		printService(&b, s)
	}
	return b.Bytes()
}

// sortedByName returns a copy that is sorted by name.
func sortedByName[T any](objects []T, name func(T) string) []T {
	return slices.SortedStableFunc(slices.Values(objects), func(a, b T) int {
		return cmp.Compare(name(a), name(b))
	})
}

func printDomain(b *bytes.Buffer, d Domain) {
	printTable(b, TableDomain, d.Comment)
	printKey(b, KeyName, quote(d.Name))
	printKey(b, KeyRegion, quote(d.Region))
}

func printService(b *bytes.Buffer, s Service) {
	printTable(b, TableService, s.Comment)
	printKey(b, KeyName, quote(s.Name))
	printKey(b, KeyMode, quote(string(s.Mode)))
	printKey(b, KeyAddress, quote(s.Address.String()))
	printKey(b, KeyDomains, quoteArray(s.Domains))
	printKey(b, KeyTargets, quoteArray(s.Targets))
	printKey(b, KeyMaxSlots, strconv.Itoa(s.MaxSlots))
	printKey(b, KeyMaxConnections, strconv.Itoa(s.MaxConnections))
	printKey(b, KeyIdleTimeout, quote(FormatDuration(s.IdleTimeout)))
	printKey(b, KeyRequestTimeout, quote(FormatDuration(s.RequestTimeout)))
}

// printTable writes the comment and header of a table, separated by an empty
// line from what precedes it.
func printTable(b *bytes.Buffer, table, comment string) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	printComment(b, comment)
	fmt.Fprintf(b, "[[%s]]\n", table)
}

// printComment writes each line of the text as a comment line.
func printComment(b *bytes.Buffer, text string) {
	if text == "" {
		return
	}
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.Map(replaceControlRune, line)
		b.WriteString(strings.TrimRight("# "+line, " ") + "\n")
	}
}

// replaceControlRune replaces control characters, which TOML forbids in
// comments, by spaces.
func replaceControlRune(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}

func printKey(b *bytes.Buffer, key, value string) {
	fmt.Fprintf(b, "%s = %s\n", key, value)
}

func quoteArray(list []string) string {
	quoted := make([]string, len(list))
	for i, s := range list {
		quoted[i] = quote(s)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// quote returns the text as a TOML basic string.
func quote(text string) string {
	var b bytes.Buffer
	for _, r := range text {
		printEscapedRune(&b, r)
	}
	return `"` + b.String() + `"`
}

// printEscapedRune writes one character of a basic string, escaped if TOML
// requires it.
func printEscapedRune(b *bytes.Buffer, r rune) {
	switch {
	case r == '"' || r == '\\':
		b.WriteByte('\\')
		b.WriteRune(r)
	case r < ' ' || r == 0x7f:
		fmt.Fprintf(b, "\\u%04X", r)
	default:
		b.WriteRune(r)
	}
}
