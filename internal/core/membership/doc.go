// Package membership decides which nodes are members, which are suspect and
// which are gone.
//
// Every node sends heartbeats to a few watchers, balancers that are chosen by
// rendezvous hashing. An acknowledged heartbeat renews the node's lease. A
// watcher that misses heartbeats claims that the node is suspect; the claim
// spreads, and the node refutes it by raising its revision if it can still be
// reached through anybody. Only after a second time-out, which exceeds the
// lease, a watcher that hears nothing either claims that the node is dead.
//
// Mass loss is damped: removals pass a token bucket, and a balancer that hears
// none of its peers and less than half of its agents holds them back, since it
// is probably the one that is cut off.
package membership
