// Package ctl is amaranthctl, the operators' client: it checks and applies
// declared files, changes operational state and shows what the nodes do.
//
// It writes to the store by compare-and-swap and asks the nodes on their
// admin addresses. Exit codes are the constants Exit*.
package ctl
