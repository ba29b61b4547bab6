// Package steering decides which agent receives each segment of a flow that
// ends at the target itself (direct server return): balancers forward the
// caller's segments, agents send the target's responses directly to the caller.
//
// The agent beside a target is the authority on the flows of its target, as it
// sees every segment that the target sends. A balancer only caches the holder
// of each flow. A segment that opens a flow is placed by rendezvous hashing and
// load. A segment from the middle of an unknown flow is sent to the most likely
// holders, then all agents are queried; such a flow is never placed anew.
//
// Balancer and Agent do no I/O: Step takes the time and an event and returns
// effects. Both keep a blackboard of sections; the file named after a section
// holds the code that writes it.
package steering
