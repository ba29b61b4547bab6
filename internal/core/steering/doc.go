// Package steering decides which agent gets each segment of a flow whose
// transport ends at the target itself (direct server return): balancers carry
// the caller's side, agents answer the caller directly.
//
// The agent beside a target is the authority on the flows of its target: it
// sees every segment that the target sends. A balancer keeps only a cache of
// holders. A segment that opens a flow is placed by rendezvous hashing and
// load; one from the middle of an unknown flow is sent to the likeliest
// holders, then asked for at all agents, and never placed anew.
//
// Balancer and Agent are pure: Step takes the time and an event and returns
// effects. Both keep a blackboard of sections; the file that is named for a
// section holds the code that writes it.
package steering
