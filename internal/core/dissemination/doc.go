// Package dissemination decides which control sessions a node keeps and what
// it sends over them.
//
// New member records and configuration objects flood: each is sent once over
// every session on which the peer is not known to hold it. Digests, sent every
// few seconds, find what was lost; pulls fetch it. Agents receive only what
// their subscription covers. Everything is sent at ticks, at most one message
// for each session and tick, under a byte budget.
//
// The controller runs after packages membership and configuration, because it
// reads the changes of the current step.
package dissemination
