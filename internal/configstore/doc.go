// Package configstore keeps the configuration in the platform's key-value
// service: one key for each object, one version key and a bounded history.
//
// Every accepted change raises the version by one in a single transaction,
// which compares the version key, so that of racing operators exactly one
// wins. The history names each change by its ID, so that a lost answer is
// resolved by reading it back, and a change is applied at most once however
// often it is submitted.
//
// Calls to the store, in the absence of faults: Load sends one, Apply two, and
// Watch two whenever it starts, which recurs every one to two minutes, and one
// for each version.
//
// Deleted objects stay as tombstones, about 100 bytes each, because a node
// that was cut off for long must still learn of them.
package configstore
