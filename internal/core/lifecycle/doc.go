// Package lifecycle decides a node's own record: whether its target's
// announcement is accepted, whether it drains or stops, and how it refutes
// records in which other nodes declare it suspect or dead. It runs before package
// membership, which spreads the record.
package lifecycle
