// Package configuration decides which configuration is in force on a node.
//
// It merges the objects received from peers and the store one by one, and never
// replaces a newer object by an older one. The version is raised only to one for
// which the node has all objects. A few balancers, elected by rendezvous hashing,
// watch the store; the others get changes from peers and read the store rarely,
// as a fallback. Agents never read it.
package configuration
