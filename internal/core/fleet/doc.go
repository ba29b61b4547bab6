// Package fleet wires a handful of routing and directory cores together in
// virtual time, with datagrams that may be late, lost or duplicated.
//
// It serves the tests of flow placement and the comparison with two baselines
// on the same list of events. It fakes the interfaces of the core only: callers
// are counters, and members and configuration are put on the boards directly.
package fleet
