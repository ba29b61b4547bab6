// Package docscheck contains the tests that compare the documentation with the
// code: the links, commands, metrics and types that a page names must exist.
package docscheck
