// Package claims sees to it that requests with the same Idempotency-Key run at
// most once, whichever flow, agent or balancer they come by.
//
// # Routing by key or a record at the agent
//
// Routing every request to the agent that its key hashes to would need no
// messages, but the flow's agent, not the balancer, reads the key: every
// keyed request would be handed over, would run away from the target that
// holds its session, and would find another agent whenever candidates change.
// A record at the agent that ran the request costs nothing until the key comes
// again, but a repetition by another flow cannot find it. The package keeps
// the record at the agent that got the request (the holder) and routes only
// the claim: the key's owner, the service's highest ranked candidate for the
// key, grants one request the right to run. The next ranked candidate, the
// deputy, has the grant before the request runs; by rendezvous hashing it is
// the one that owns the key when the owner goes.
//
// # Promises
//
// They hold for a key of a service for as long as records are kept
// (retention), and while messages between living agents get through within
// SettleWindow.
//
//   - All alive: one request runs. Repetitions get its whole answer, or "in
//     progress", or, when the answer was too large to keep, "done".
//   - Holder died: repetitions get "outcome unknown" if it had not reported an
//     answer, otherwise "done" without the answer. Nothing runs again.
//   - Owner died: nothing changes. The deputy owns the key. Until its view has
//     been stable for SettleWindow it also asks every other candidate before
//     it grants a key.
//   - Holder and owner died: the deputy says "outcome unknown".
//   - Holder, owner and deputy died before the survivors' views changed and
//     records were pushed on: the key is forgotten, and a repetition runs. This
//     is the only combination of deaths that lets a request run twice.
//
// A request whose claim is not answered before its deadline does not run. It
// ends as "outcome unknown", because an earlier one with its key may have run.
// The same holds for a network partition in which agents of both parts keep
// valid leases and a caller reaches both: each part sees the other as dead. A
// dead set of holder, owner and deputy is two agents where the holder is one
// of the others.
//
// An owner whose lease lapsed grants nothing, and an owner that answered
// another one's probe for a key asks back before it grants that key.
package claims
