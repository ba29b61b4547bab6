// Package control implements the control sessions between nodes: mutually
// authenticated yamux sessions over TCP, with length-delimited protobuf
// messages on the first stream and hand-over streams beside it.
//
// Peers prove that they know one of the cluster's shared secrets: each side
// sends a fresh nonce in its Hello and then an HMAC-SHA256 over the direction
// and both Hello messages, which name the cluster, the node, its incarnation
// and its role. The acceptor sends its proof only after it has verified the
// dialer's. The first secret signs and every configured one is accepted, so
// that secrets can be rotated without an interruption.
//
// Sessions use a shared key instead of mutual TLS. Mutual TLS would also
// encrypt the traffic and protect the integrity of all later bytes, but it
// needs a certificate for each of many diskless hosts, which may be replaced at
// any time, and so an authority to issue them. The settings that name the
// cluster already distribute a secret to every host. The shared key keeps
// foreign and misconfigured processes out. It neither encrypts traffic nor
// stops an attacker who can modify packets between the hosts, so the network
// between them has to be trusted.
//
// A message that is malformed or too large, and a proof that does not match,
// is discarded, logged and counted, and closes the connection.
package control
