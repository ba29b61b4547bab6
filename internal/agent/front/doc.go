// Package front terminates the callers' QUIC connections of one agent and
// forwards their HTTP/3 requests to the target.
//
// The front makes no admission or routing decisions. It reports each request to
// the node through an EventSink, waits for the node's decision
// (core.RequestEffect, passed in by DeliverDecision) and performs it: send the
// request to the target, hand it over to another agent, refuse it or replay a
// stored response. After an attempt without a response it reports the outcome
// and waits for the next decision.
//
// Requests are sent to the target over HTTP/1.1, each on a connection of its own.
// Connections are not reused, because a client that finds a reused connection
// closed may silently send the request again, and because the end of a dedicated
// connection shows that the target has stopped running the request. A caller
// receives a response completely, or its stream is reset.
package front
