// Package claims ensures that requests with the same Idempotency-Key run at
// most once, whichever flow, agent or balancer they arrive through.
//
// # Routing by key or a record at the agent
//
// Routing every request to the agent that its key hashes to would need no
// messages. But the flow's agent, not the balancer, reads the key: every keyed
// request would be handed over, would run away from the target that has its
// session, and would reach another agent whenever candidates change. A record at
// the agent that ran the request costs nothing until the key is used again, but
// a retry through another flow cannot find it. The package keeps the record at
// the agent that received the request (the holder) and routes only the claim:
// the key's owner, the service's highest ranked candidate for the key, grants
// one request the right to run. The next ranked candidate, the deputy, receives
// the grant before the request runs; by rendezvous hashing it becomes the owner
// when the owner fails.
//
// # Guarantees
//
// They hold for a key of a service for as long as records are kept
// (outcomeRetention), and while messages between live agents arrive within
// SettleWindow.
//
//   - All alive: one request runs. Retries get its complete response, or "in
//     progress", or, if the response was too large to store, "done".
//   - Holder failed: retries get "outcome unknown" if it had not reported an
//     outcome, otherwise "done" without the response. Nothing runs again.
//   - Owner failed: nothing changes. The deputy owns the key. Until its view has
//     been stable for SettleWindow it also probes every other candidate before
//     it grants a key.
//   - Holder and owner failed: the deputy replies "outcome unknown".
//   - Holder, owner and deputy failed before the survivors' views changed and
//     records were pushed on: the key is lost, and a retry runs. This is the
//     only combination of failures that lets a request run twice.
//
// A request whose claim gets no reply before its deadline does not run. It ends
// as "outcome unknown", because an earlier one with its key may have run. The
// same holds for a network partition in which agents on both sides keep valid
// leases and a caller reaches both: each side sees the other as dead. Holder,
// owner and deputy are only two agents where the holder is one of the other two.
//
// An owner whose lease lapsed grants nothing, and an owner that replied to
// another owner's probe for a key probes that owner before it grants the key.
package claims
