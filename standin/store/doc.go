// Package store is a stand-in for the platform's key-value service in tests:
// the subset of the etcd v3 JSON gateway that the product uses, in memory,
// with faults that tests switch on and off.
//
// Server.Handler serves the gateway and Server.AdminHandler the switches, so
// that tests can run it in their own process with net/http/httptest. Command
// runs it as a process.
package store
