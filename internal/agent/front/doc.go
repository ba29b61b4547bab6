// Package front ends the callers' QUIC connections of one agent and carries
// their HTTP/3 requests to the target.
//
// The front takes no decisions. It reports each request to the node through a
// Decider, waits for the node's verdict (core.RequestEffect, handed in by
// Deliver) and carries it out: send to the target, hand over to another agent,
// refuse or replay a stored answer. After an attempt without an answer it
// reports the outcome and waits for the next verdict.
//
// Requests travel to the target over HTTP/1.1, each on a connection of its own.
// A connection that is never reused is never the reason for a silent second
// sending, and its end tells when the target has stopped running the request.
// An answer reaches the caller whole or its stream is reset.
package front
