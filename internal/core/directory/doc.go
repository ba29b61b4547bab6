// Package directory decides which agent holds each flow.
//
// Every flow has a home, the highest ranked candidate of its service, which
// knows or learns the flow's holder. The home offers a new flow to candidates
// and remembers who admitted it; the holder keeps its home informed by
// registering the flow, and registers it again when the home moves.
//
// A home whose candidates changed less than SettleWindow ago cannot tell a new
// flow from one that is held elsewhere. It first probes the other candidates;
// each answers with the holder it knows, or promises to send the flow's
// datagrams to the prober. Of two homes that probe at once the lower ranked
// one yields. A datagram in the middle of a flow that nobody knows is dropped
// and never starts a flow.
//
// A home without a valid lease places nothing: it may have been paused and
// replaced.
package directory
