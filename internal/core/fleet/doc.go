// Package fleet simulates a small cluster of nodes with routing and directory
// controllers in virtual time. Datagrams may be delayed, lost or duplicated.
//
// It is used by the tests of flow placement and by the comparison with two
// baselines on the same sequence of events. Only the interfaces of the core are
// simulated: callers are counters, and members and configuration are written to
// the boards directly.
package fleet
