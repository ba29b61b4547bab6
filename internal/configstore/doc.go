// Package configstore keeps the configuration in the platform's key-value
// service: one key for each object, one version key and a bounded history.
//
// Every accepted change increments the version in a single transaction that
// compares the version key, so that exactly one of several concurrent changes
// succeeds. The history is indexed by change ID: after a lost response, reading
// it back tells whether the change was applied, and a change is applied at most
// once however often it is submitted.
//
// Number of calls to the store, without faults: Load sends one, Apply two, and
// Watch two whenever it starts, which it does every one to two minutes, and one
// for each version.
//
// Deleted objects are kept as tombstones of about 100 bytes each, because a node
// must learn of a deletion even after a long disconnection.
package configstore
