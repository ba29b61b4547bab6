// Package target is a stand-in for a target: a plain HTTP/1.1 server, or a UDP
// echo for flow services, that has slots, starts cold, sheds load, falls over
// when it gets more than it bears, and keeps a ledger of each request it ran.
package target
