// Package workload defines what the caller and target stand-ins share: HTTP
// headers, generated request and response bodies, the datagrams of flow
// services, and the ledgers that package reconcile compares.
package workload
