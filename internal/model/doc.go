// Package model holds the typed vocabulary that every part shares: names,
// declared services and failure domains, member records and flow keys.
//
// The package has no I/O and no dependencies on other parts of the product.
package model
