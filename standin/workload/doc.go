// Package workload holds what the caller and target stand-ins agree on: the
// HTTP headers, the stream of an answer's bytes, the datagrams of flow
// services, and the ledgers that package reconcile compares.
package workload
