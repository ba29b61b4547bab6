// Command vatukoula prints the configuration of Vatukoula Re Treaty Services:
// the treaty bordereaux desk in four failure domains of fj-central.
//
// Print and review it, then submit it:
//
//	go run ./operator/examples/vatukoula > vatukoula.toml
//	amaranthctl diff vatukoula.toml
//	amaranthctl apply vatukoula.toml
package main

import (
	"os"
	"time"

	"amaranthwheel.example/amaranthwheel/operator"
)

// Limits of one target, which has 5 slots and 2,000 connections.
const (
	targetSlots       = 5
	targetConnections = 2000
)

// A submission carries many bordereaux; a statement is generated in one request.
const (
	sessionIdleTimeout = 10 * time.Minute
	submissionTimeout  = 30 * time.Second
	statementTimeout   = 60 * time.Second
)

func main() {
	os.Exit(newConfiguration().Run(os.Stdout, os.Stderr))
}

// newConfiguration returns Vatukoula Re's configuration.
func newConfiguration() *operator.Configuration {
	c := operator.New(
		"Vatukoula Re Treaty Services, treaty bordereaux desk.",
		"Printed by operator/examples/vatukoula; change the program, not this file.",
	)
	central := c.Region("fj-central")
	domains := []*operator.Domain{
		central.Domain("fj-central-a"),
		central.Domain("fj-central-b"),
		central.Domain("fj-central-c"),
		central.Domain("fj-central-d"),
	}

	c.Service("reconciliation").
		Comment("Cedants' bordereaux against treaty terms: 7 targets.").
		Requests().
		Address("127.20.0.1:4443").
		Domains(domains...).
		Targets("reconciliation-*").
		MaxSlots(targetSlots).
		MaxConnections(targetConnections).
		IdleTimeout(sessionIdleTimeout).
		RequestTimeout(submissionTimeout)

	c.Service("statement-generation").
		Comment("Statements to retrocessionaires and brokers: 4 targets.").
		Requests().
		Address("127.20.0.2:4444").
		Domains(domains...).
		Targets("statement-generation-*").
		MaxSlots(targetSlots).
		MaxConnections(targetConnections).
		IdleTimeout(sessionIdleTimeout).
		RequestTimeout(statementTimeout)
	return c
}
