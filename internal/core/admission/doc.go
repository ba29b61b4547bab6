// Package admission decides which requests an agent sends to its target, which
// it hands over to another agent and which it refuses.
//
// The target's slots are a hard limit. Below it the controller learns how many
// concurrent requests the target bears, from nothing but the answers: health
// and load endpoints lag or mislead and are never read. A slot is taken until
// the connection to the target is closed, because a target may go on running
// a request that its caller has given up.
//
// A request is handed over or refused as "not run" only when that is proven:
// it was never sent, no byte of it left the agent, or the other side said so.
// Everything else ends as "outcome unknown" and is sent nowhere again,
// whatever its method.
//
// Hand-overs that would repeat an attempt are paid for out of a budget that
// answered requests fill, so that retries cannot multiply the load. A request
// that a draining, unreachable or cut-off agent hands over without an attempt
// of its own takes no more capacity than it would have taken here, and is
// free. The receiver runs the request or refuses it, and never hands it on;
// the agent that holds the flow chooses each next agent.
//
// An agent whose lease has lapsed starts nothing. Others may hold it for
// dead, and it can have missed that its failure domain was taken out. Nothing
// of the request was sent, so handing it over or refusing it as "not run" is
// true. Requests in flight finish.
package admission
