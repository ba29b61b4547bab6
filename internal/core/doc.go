// Package core defines the interface of the decision core: the blackboard's
// typed sections, the events that a node receives and the effects that its
// controllers request.
//
// A node's decisions are a pure function of its board, the time and the event:
// controllers run in a fixed order, read any section, write only their own and
// emit effects. The core uses no sockets, clocks, goroutines or global
// randomness; a process supplies the events and carries out the effects.
package core
