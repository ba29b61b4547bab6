// Package ctl implements amaranthctl, the operators' client: it checks and
// applies declared files, changes operational state and shows the state of the
// nodes.
//
// It writes to the store by compare-and-swap and queries the nodes at their
// admin addresses. The exit codes are the constants Exit*.
package ctl
