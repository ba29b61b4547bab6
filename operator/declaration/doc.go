// Package declaration defines the file format in which operators declare
// failure domains, services and the targets of each service.
//
// A file is TOML with [[domain]] and [[service]] tables. Parse reads it and
// reports all findings together, each with file, line and key. Print writes it
// in a deterministic order. Keys lists every key with its unit, default and
// range.
//
// Whether a failure domain is out, or a target is draining, is operational
// state and not part of a file.
package declaration
