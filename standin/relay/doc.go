// Package relay is a TCP relay that tests put between two processes to cut
// them off from each other: while it is cut, connections stay open and no byte
// passes.
package relay
