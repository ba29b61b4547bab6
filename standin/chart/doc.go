// Package chart prints service over time out of callers' ledgers: for each
// second of the load, how many requests were answered in time, late or not at
// all.
package chart
