// Package directcheck checks a configuration of direct server return before
// operators store it: entries that can never match, limits that contradict each
// other, and what differs from the version in force.
package directcheck

import (
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// Field is a declared value with its place. If the field is absent, Set is false and
// Place is that of the enclosing object.
type Field[T any] struct {
	Value T
	Set   bool
	Place findings.Place
}

// RequestKind is the declared kind of a route's requests.
type RequestKind int

// The request kinds. Nodes treat requests of an unknown kind as non-idempotent.
const (
	KindUnknown RequestKind = iota
	KindIdempotent
	// KindDownload is of idempotent requests that have a flow each.
	KindDownload
	KindNonIdempotent
)

// Share is a declared share of a route's new flows.
type Share struct {
	Service Field[string]
	Weight  Field[int]
}

// Route is a declared route.
type Route struct {
	Name Field[string]
	// Address is the route's address; its Place is that of the IP address. It is not set if
	// it is malformed.
	Address Field[steering.Endpoint]
	// Service receives all flows of a route without shares.
	Service Field[string]
	Shares  []Share
	// Type is the text that declares Kind.
	Type               Field[string]
	Kind               RequestKind
	Priority           Field[int]
	Objective, Timeout Field[time.Duration]
}

// Service is a declared service.
type Service struct {
	Name           Field[string]
	MaxConnections Field[int64]
	// ColdTime is how long an endpoint is cold, ColdRate the requests per second that it can
	// serve meanwhile.
	ColdTime   Field[float64]
	ColdRate   Field[float32]
	HealthPath Field[string]
}

// Limit is a declared limit. Value is its text in the document.
type Limit struct {
	Name  string
	Value Field[string]
}

// Document is a decoded configuration with the places of its values.
type Document struct {
	Version  Field[int64]
	Routes   []Route
	Services []Service
	Limits   []Limit
	// IdleTimeout is the limit after which a flow without traffic may be discarded.
	IdleTimeout Field[time.Duration]
}
