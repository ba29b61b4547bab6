// Package core holds the contract of the decision core: the blackboard's
// typed sections, the events that a node receives and the effects that its
// controllers ask for.
//
// A node's decisions are a pure function of its board, the time and the event:
// controllers run in a fixed order, read any section, write only their own and
// emit effects. There are no sockets, clocks, goroutines or global randomness
// here; a process feeds events in and carries effects out.
package core
