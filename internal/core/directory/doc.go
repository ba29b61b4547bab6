// Package directory decides which agent is the holder of each flow.
//
// Every flow has a home, the highest ranked candidate of its service, which
// keeps the directory entry that names the flow's holder. The home offers a new
// flow to candidates and records the one that accepts it. The holder registers
// the flow with its home, and registers it again when the home moves.
//
// A home whose candidates changed less than SettleWindow ago cannot tell a new
// flow from one that already has a holder. It first probes the other
// candidates; each replies with the holder it knows, or promises to forward the
// flow's datagrams to the prober. If two homes probe at the same time, the lower
// ranked one yields. A datagram from the middle of a flow that no candidate
// knows is dropped and never starts a flow.
//
// A home without a valid lease places no flows: it may have been paused and
// replaced.
package directory
