// Package dissemination decides which control sessions a node keeps and what
// it sends over them.
//
// New member records and configuration objects are flooded: each is sent once
// over every session on which the peer is not known to hold it. Digests, sent
// every few seconds, detect losses, and pulls repair them (anti-entropy). Agents
// receive only what their subscription covers. Floods are sent at ticks, at most
// one message of each kind for each session and tick, under a byte budget.
//
// The controller runs after packages membership and configuration, because it
// reads the changes of the current step.
package dissemination
