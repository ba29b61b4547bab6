package caller

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/model"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Config holds the settings of a caller. Shares run from 0 to 1.
type Config struct {
	// Name is the first part of request and flow IDs. It differs between the
	// callers of one scenario.
	Name    string
	Service string
	Mode    model.Mode
	// Address is the service's address, as the caller sees it.
	Address netip.AddrPort
	// Balancers are the addresses that datagrams really go to.
	Balancers []netip.AddrPort
	// BalancersFile is read again and again and replaces Balancers; empty
	// reads none.
	BalancersFile string
	// Local is the IP address that flows are bound to.
	Local netip.Addr
	// CAFile is the PEM file with the certificates to trust.
	CAFile     string
	ServerName string
	// Admin is the address of the control endpoints; empty has none.
	Admin string
	// LedgerFile receives the ledger at the end; empty writes none.
	LedgerFile string

	// Sessions is the number of long sessions. Each sends a request every
	// SessionInterval.
	Sessions        int
	SessionInterval time.Duration
	// Ramp is the time over which the long sessions are opened.
	Ramp time.Duration
	// ShortRate is the number of short sessions opened in a second. Each sends
	// one request.
	ShortRate float64
	// MaxShort caps the concurrent short sessions.
	MaxShort int
	// Duration and MaxRequests bound the load, whichever is reached first.
	Duration    time.Duration
	MaxRequests int
	// Timeout bounds one request, and the opening of a flow.
	Timeout time.Duration
	// LateAfter is the time after which an answer counts as late.
	LateAfter time.Duration
	// StrictSource drops answers that do not come from the service's address,
	// as a connected socket does.
	StrictSource bool
	// StrictMoves breaks a flow whose target changes also when the agent has
	// declared that it handed the request over.
	StrictMoves bool
	// AllowGoAway lets an agent end established flows by HTTP/3's GOAWAY, after
	// which their sessions go on as new flows.
	AllowGoAway bool
	// KeepAlive and IdleTimeout are those of QUIC. A flow of datagrams that
	// gets no answer for IdleTimeout is broken.
	KeepAlive   time.Duration
	IdleTimeout time.Duration

	// PostShare is the share of non-idempotent requests, KeyShare the share of
	// those that carry an Idempotency-Key, RepeatShare the share of those that
	// are sent again with the same key on another flow.
	PostShare   float64
	KeyShare    float64
	RepeatShare float64
	// CancelShare is the share of requests that the caller gives up halfway
	// through their work.
	CancelShare float64
	// MinSize and MaxSize bound the answers, in bytes.
	MinSize int64
	MaxSize int64
	// BodySize is the length of the body of non-idempotent requests, in bytes.
	BodySize int64
	// Work is the work that each request asks for.
	Work time.Duration
	Seed uint64
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
	require(c.Address.IsValid(), "address", "is missing")
	require(len(c.Balancers) > 0 || c.BalancersFile != "", "balancers", "are missing")
	require(c.Local.IsValid(), "local", "is missing")
	require(c.CAFile != "" || c.Mode == model.ModeFlow, "ca", "is missing")
	require(c.Sessions >= 0, "sessions", "must not be negative")
	require(c.SessionInterval > 0, "session-interval", "must be above 0")
	require(c.ShortRate >= 0, "short-rate", "must not be negative")
	require(c.MaxShort > 0, "max-short", "must be above 0")
	require(c.Duration > 0, "duration", "must be above 0")
	require(c.MaxRequests > 0, "max-requests", "must be above 0")
	require(c.Timeout > 0, "timeout", "must be above 0")
	require(c.IdleTimeout > 0, "idle-timeout", "must be above 0")
	require(c.MinSize >= 0 && c.MinSize <= c.MaxSize, "min-size", "must be between 0 and max-size")
	require(c.BodySize >= 0, "body-size", "must not be negative")
	shares := []struct {
		key   string
		value float64
	}{
		{"post-share", c.PostShare}, {"key-share", c.KeyShare},
		{"repeat-share", c.RepeatShare}, {"cancel-share", c.CancelShare},
	}
	for _, s := range shares {
		require(s.value >= 0 && s.value <= 1, s.key, "must be between 0 and 1")
	}
	return found.Err()
}
