// Package soak runs the daemons for direct server return as separate processes
// on loopback, between stand-ins for the platform's store, routers, callers and
// targets, under faults drawn from a seed, and checks what callers and targets
// see.
package soak
