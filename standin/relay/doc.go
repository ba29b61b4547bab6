// Package relay implements relays that tests put between two processes: one for TCP,
// which holds bytes back, delays or loses them, or resets connections, and one for
// UDP, which loses, repeats or delays datagrams.
package relay
