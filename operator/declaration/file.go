package declaration

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Mode selects the unit of traffic that a service balances.
type Mode string

const (
	// ModeRequest admits single HTTP/3 requests.
	ModeRequest Mode = "request"
	// ModeFlow admits whole flows of opaque UDP datagrams.
	ModeFlow Mode = "flow"
)

// File is the whole declared configuration.
type File struct {
	Domains  []Domain
	Services []Service
	// Origin is the place of the start of the file.
	Origin findings.Place
}

// Domain is a declared failure domain.
type Domain struct {
	Name   string
	Region string
	// Comment is printed above the table. Parse leaves it empty.
	Comment string
	Origin  Origin
}

// Service is a declared service: one address in front of a set of targets.
type Service struct {
	Name    string
	Mode    Mode
	Address netip.AddrPort
	// Domains lists the failure domains that may serve the service.
	Domains []string
	// Targets lists the path.Match patterns that select the service's targets
	// by name.
	Targets []string
	// MaxSlots limits the concurrent requests of one target.
	MaxSlots int
	// MaxConnections limits the concurrent flows of one target.
	MaxConnections int
	// IdleTimeout is the time after which a flow without traffic is closed.
	IdleTimeout time.Duration
	// RequestTimeout is the timeout of a request that carries no deadline.
	RequestTimeout time.Duration
	// Comment is printed above the table. Parse leaves it empty.
	Comment string
	Origin  Origin
}
