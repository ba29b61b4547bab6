package declaration

import (
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Mode selects how a service's flows are carried.
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
	// Origin is where the file begins.
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
	// Targets lists path.Match patterns of the names of the targets that the
	// service may use.
	Targets []string
	// MaxSlots caps the concurrent requests of one target.
	MaxSlots int
	// MaxConnections caps the concurrent flows of one target.
	MaxConnections int
	// IdleTimeout ends a flow without traffic.
	IdleTimeout time.Duration
	// RequestTimeout bounds one request when the caller names no deadline.
	RequestTimeout time.Duration
	// Comment is printed above the table. Parse leaves it empty.
	Comment string
	Origin  Origin
}
