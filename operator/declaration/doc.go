// Package declaration is the file format in which operators declare failure
// domains, services and the targets each service may use.
//
// A file is TOML with [[domain]] and [[service]] tables. Parse reads it and
// reports everything that is wrong with it together, each finding with file,
// line and key. Print writes it in a stable order. Keys lists every key with
// its unit, default and range.
//
// Whether a failure domain is out, or a target drains, is operational state
// and not part of a file.
package declaration
