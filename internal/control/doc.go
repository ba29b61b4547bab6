// Package control carries control messages between the system's own
// processes: mutually authenticated yamux sessions over TCP, with
// length-delimited protobuf messages on the first stream and hand-over
// streams beside it.
//
// Peers prove that they know one of the cluster's shared secrets: each side
// sends a fresh nonce in its Hello and answers with an HMAC-SHA256 over the
// direction and both Hello messages, which name the cluster, the node, its
// incarnation and its role. The acceptor proves itself only after it has
// verified the dialer. The first secret signs and every configured one is
// accepted, so that secrets can be rotated without an interruption.
//
// A shared key was weighed against mutual TLS. Mutual TLS also encrypts and
// detects changes to later bytes, but needs a certificate for each of many
// diskless hosts that are replaced at any time, and so an authority to issue
// them. The settings that name the cluster already carry a secret to every
// host. The shared key keeps foreign and misconfigured processes out; it
// neither hides traffic nor stops an attacker who can rewrite packets
// between the hosts, for which the network between them has to be trusted.
//
// Whatever a peer sends that is malformed, too large or wrongly signed closes
// its connection, is logged and counted, and changes nothing.
package control
