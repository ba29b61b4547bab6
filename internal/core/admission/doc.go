// Package admission decides which requests an agent sends to its target, which
// it hands over to another agent and which it refuses.
//
// The target's slots are a hard limit. Below it an adaptive concurrency limit
// estimates the target's capacity from its responses alone: health and load
// endpoints lag or mislead and are never read. A request holds its slot until
// the connection to the target is closed, because a target may continue to run
// a request that its caller has cancelled.
//
// A request is handed over or refused as "not run" only when that is proven:
// it was never sent, no byte of it left the agent, or the other side said so.
// Every other request ends as "outcome unknown" and is never sent again,
// whatever its method.
//
// A hand-over after a failed attempt is paid for from a retry budget that
// completed requests fill, so that retries cannot multiply the load. A request
// that a draining, unreachable or partitioned agent hands over without an
// attempt of its own takes no more capacity than it would have taken here, and
// is free. The receiver runs the request or refuses it, and never hands it
// over again; the flow's holder chooses each next agent.
//
// An agent whose lease has lapsed starts no request: other nodes may consider
// it dead, and it may have missed that its failure domain was taken out. As
// nothing of the request was sent, it may be handed over or refused as "not
// run". Requests in flight finish.
package admission
