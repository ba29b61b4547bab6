package target

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Config holds the settings of a target.
type Config struct {
	Name    string
	Service string
	Mode    model.Mode
	// Listen is the address of the service, Admin that of the control
	// endpoints.
	Listen string
	Admin  string
	// Announce is the host:port of the agent; empty announces to nobody.
	Announce string
	// Instance tells processes of one target apart; empty takes the time of
	// the start.
	Instance string
	// LedgerFile receives the ledger, one JSON record a line; empty writes
	// none.
	LedgerFile string
	// Slots caps the concurrent requests, Connections the connections.
	Slots       int
	Connections int
	// WarmUp is how long a cold target takes to bear all its slots; zero
	// starts warm.
	WarmUp time.Duration
	// WarmUpRequests is how many requests a cold target serves before it
	// bears all its slots. The slower of WarmUp and WarmUpRequests counts.
	WarmUpRequests int
	// ColdSlowdown multiplies the work of a fully cold target; at least 1.
	ColdSlowdown float64
	// OverloadFactor times what the target bears is what it falls over at.
	OverloadFactor float64
	// FallOver is how long all requests fail after falling over.
	FallOver time.Duration
	// HealthLag is how old the values of the health and load endpoints are.
	HealthLag time.Duration
	// Work is the work of a request that names none.
	Work time.Duration
	// StopWait is how long a stopping target stays reachable at least,
	// StopLimit at most.
	StopWait  time.Duration
	StopLimit time.Duration
}

// check returns an error with all findings about the settings.
func (c *Config) check() error {
	var found findings.List
	require := func(ok bool, key, message string) {
		if !ok {
			found.Addf(findings.Place{Key: key}, "%s", message)
		}
	}
	require(c.Name != "", "name", "is missing")
	require(c.Service != "", "service", "is missing")
	require(c.Mode == model.ModeRequest || c.Mode == model.ModeFlow, "mode", `must be "request" or "flow"`)
	require(c.Slots > 0, "slots", "must be above 0")
	require(c.Connections > 0, "connections", "must be above 0")
	require(c.WarmUp >= 0, "warm-up", "must not be negative")
	require(c.WarmUpRequests >= 0, "warm-up-requests", "must not be negative")
	require(c.ColdSlowdown >= 1, "cold-slowdown", "must be at least 1")
	require(c.OverloadFactor >= 1, "overload-factor", "must be at least 1")
	return found.Err()
}
