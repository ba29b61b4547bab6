// Package operator lets operators write the configuration of services,
// failure domains and targets in Go and print it as TOML for review.
package operator
