// Command authority prints the configuration of the Oman Tower Infrastructure
// Authority: the mast leasing systems in three failure domains of om-north.
//
// Print and review it, then submit it:
//
//	go run ./operator/examples/authority > authority.toml
//	amaranthctl diff authority.toml
//	amaranthctl apply authority.toml
package main

import (
	"os"
	"time"

	"amaranthwheel.example/amaranthwheel/operator"
)

// Limits of one target, which has about 10 slots and 2,000 connections.
const (
	targetSlots       = 10
	targetConnections = 2000
)

// Engineers' sessions stay open all day and may be quiet for minutes.
const (
	sessionIdleTimeout     = 15 * time.Minute
	applicationTimeout     = 10 * time.Second
	drawingDownloadTimeout = 60 * time.Second
)

func main() {
	os.Exit(newConfiguration().Run(os.Stdout, os.Stderr))
}

// newConfiguration returns the Authority's configuration.
func newConfiguration() *operator.Configuration {
	c := operator.New(
		"Oman Tower Infrastructure Authority, mast leasing systems.",
		"Printed by operator/examples/authority; change the program, not this file.",
	)
	north := c.Region("om-north")
	a := north.Domain("om-north-a")
	b := north.Domain("om-north-b")
	d := north.Domain("om-north-c")

	c.Service("lease-desk").
		Comment("Sessions of site engineers and field inspectors: 7 targets.").
		Requests().
		Address("127.10.0.1:4433").
		Domains(a, b, d).
		Targets("lease-desk-*").
		MaxSlots(targetSlots).
		MaxConnections(targetConnections).
		IdleTimeout(sessionIdleTimeout).
		RequestTimeout(applicationTimeout)

	c.Service("drawings").
		Comment("Structural plans for crews at the mast: 3 targets.").
		Requests().
		Address("127.10.0.2:4434").
		Domains(a, b, d).
		Targets("drawings-*").
		MaxSlots(targetSlots).
		MaxConnections(targetConnections).
		IdleTimeout(sessionIdleTimeout).
		RequestTimeout(drawingDownloadTimeout)
	return c
}
