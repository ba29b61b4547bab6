// Package reconcile compares the ledgers of callers and targets and finds what
// neither can see alone: duplicated runs, refusals that were not true, answers
// that are not those of their requests.
package reconcile
