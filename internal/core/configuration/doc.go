// Package configuration decides which configuration is in force on a node.
//
// It merges what peers and the store deliver, object by object, and never
// replaces a newer object by an older one. The version is raised only to one
// that the node holds complete. A few balancers, elected by rendezvous
// hashing, watch the store; the others learn from peers and read the store
// rarely, as a fallback. Agents never read it.
package configuration
