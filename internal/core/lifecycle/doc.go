// Package lifecycle decides a node's own record: whether the target it
// announces is accepted, whether it drains or stops, and how it refutes
// claims of others about it. It runs before package membership, which spreads
// the record.
package lifecycle
