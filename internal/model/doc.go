// Package model defines the types that all packages share: names, declared
// services and failure domains, member records and flow keys.
//
// The package performs no I/O and depends on no other package of the product.
package model
