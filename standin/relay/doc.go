// Package relay implements fault-injecting proxies for tests: one for TCP, which
// stalls, delays or drops bytes or resets connections, and one for UDP, which drops,
// duplicates or delays datagrams.
package relay
