// Package docscheck holds the tests that compare the pages with the code:
// links, commands, metrics and types that a page names must exist.
package docscheck
