// Package caller is a stand-in for callers: it puts load on one service over
// HTTP/3, or over UDP for flow services, and sends each datagram of a flow to
// a balancer picked at random. It checks each answer against its own request
// and keeps a ledger.
package caller
