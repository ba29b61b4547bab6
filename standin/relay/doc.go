// Package relay is a TCP relay that tests put between two processes: it holds bytes
// back, delays or loses them, or resets connections.
package relay
