// Package membership decides which nodes are members, which are suspect and
// which are gone.
//
// Every node sends heartbeats to a few watchers, balancers that are chosen by
// rendezvous hashing. An acknowledged heartbeat renews the node's lease. A
// watcher that misses heartbeats declares the node suspect; this spreads, and
// the node refutes it by raising its revision if any node can still reach it.
// Only after a second timeout, which exceeds the lease, a watcher that received
// neither heartbeats nor a refutation declares the node dead.
//
// Removals are damped in case many nodes fail at once: they pass a token bucket,
// and a balancer that receives nothing from its peers and heartbeats from less
// than half of its agents suspends them, since it is probably isolated itself.
package membership
