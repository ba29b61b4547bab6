// Package declare turns a declared file into configuration objects and
// computes the typed changes that lead from the configuration in force to
// the declared one.
package declare
