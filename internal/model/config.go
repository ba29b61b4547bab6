package model

import (
	"cmp"
	"maps"
	"net/netip"
	"path"
	"slices"
	"time"
)

// ServiceName identifies a declared service.
type ServiceName string

// DomainName identifies a failure domain.
type DomainName string

// TargetName identifies a target, independent of the process instance that
// runs it.
type TargetName string

// Mode selects how a service's flows are carried.
type Mode string

const (
	// ModeRequest terminates QUIC at the agent and admits single HTTP/3 requests.
	ModeRequest Mode = "request"
	// ModeFlow relays opaque UDP datagrams and admits whole flows.
	ModeFlow Mode = "flow"
)

// Service is a declared service: one address in front of a set of targets.
type Service struct {
	Name ServiceName `json:"name"`
	Mode Mode        `json:"mode"`
	// Address is where callers send datagrams. Ports are unique across
	// services, because a balancer may bind the port on its own address.
	Address netip.AddrPort `json:"address"`
	// Domains lists the failure domains that may serve this service.
	Domains []DomainName `json:"domains"`
	// Targets lists path.Match patterns for the names of the targets that it
	// may use.
	Targets []string `json:"targets"`
	// MaxSlots caps the concurrent requests of one target.
	MaxSlots int `json:"max_slots"`
	// MaxConnections caps the concurrent flows of one target.
	MaxConnections int `json:"max_connections"`
	// IdleTimeout is the time without traffic after which a flow is closed.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// RequestTimeout bounds one request if the caller sets no deadline.
	RequestTimeout time.Duration `json:"request_timeout"`
}

// Allows reports whether the service may use the target in the failure domain.
func (s *Service) Allows(target TargetName, domain DomainName) bool {
	if !slices.Contains(s.Domains, domain) {
		return false
	}
	for _, pattern := range s.Targets {
		if ok, err := path.Match(pattern, string(target)); ok && err == nil {
			return true
		}
	}
	return false
}

// Domain is a declared failure domain.
type Domain struct {
	Name   DomainName `json:"name"`
	Region string     `json:"region"`
}

// DomainState is the operational state of a failure domain. It is separate from
// Domain so that applying a configuration never puts a domain back in service.
type DomainState struct {
	Name DomainName `json:"name"`
	Out  bool       `json:"out"`
}

// TargetState is the operational state of a target.
type TargetState struct {
	Name  TargetName `json:"name"`
	Drain bool       `json:"drain"`
}

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// The kinds of configuration objects.
const (
	KindService     ObjectKind = "service"
	KindDomain      ObjectKind = "domain"
	KindDomainState ObjectKind = "domain-state"
	KindTargetState ObjectKind = "target-state"
)

// ObjectKey identifies one configuration object.
type ObjectKey struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
}

// Compare orders keys by kind, then name.
func (k ObjectKey) Compare(o ObjectKey) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Object is one configuration object at the version that last changed it.
// Only the field for Key.Kind is set; all are nil in a tombstone.
type Object struct {
	Key         ObjectKey    `json:"key"`
	Version     uint64       `json:"version"`
	Service     *Service     `json:"service,omitempty"`
	Domain      *Domain      `json:"domain,omitempty"`
	DomainState *DomainState `json:"domain_state,omitempty"`
	TargetState *TargetState `json:"target_state,omitempty"`
}

// Deleted reports whether the object is a tombstone.
func (o *Object) Deleted() bool {
	return o.Service == nil && o.Domain == nil && o.DomainState == nil && o.TargetState == nil
}

// Config is a set of objects with one version. The store increments the version
// by compare-and-swap with every accepted change. A Config is not safe for
// concurrent use.
type Config struct {
	Version uint64
	Objects map[ObjectKey]Object
}

// NewConfig returns an empty configuration at version 0.
func NewConfig() *Config {
	return &Config{Objects: make(map[ObjectKey]Object)}
}

// Clone returns a copy that shares the immutable objects.
func (c *Config) Clone() *Config {
	return &Config{Version: c.Version, Objects: maps.Clone(c.Objects)}
}

// Merge stores every object that is newer than the current one, and never an
// older one. The version, if it is higher, is one for which the sender has all
// objects. Merge returns the keys that changed.
func (c *Config) Merge(version uint64, objects []Object) []ObjectKey {
	var changed []ObjectKey
	for _, o := range objects {
		current, ok := c.Objects[o.Key]
		if ok && current.Version >= o.Version {
			continue
		}
		c.Objects[o.Key] = o
		changed = append(changed, o.Key)
	}
	c.Version = max(c.Version, version)
	return changed
}

// ChangedSince returns the objects changed after the version, in key order.
func (c *Config) ChangedSince(version uint64) []Object {
	var out []Object
	for _, o := range c.Objects {
		if o.Version > version {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return a.Key.Compare(b.Key) })
	return out
}

// Service returns the declared service, or nil.
func (c *Config) Service(name ServiceName) *Service {
	return c.Objects[ObjectKey{KindService, string(name)}].Service
}

// DomainOut reports whether operators have taken the failure domain out of
// service.
func (c *Config) DomainOut(name DomainName) bool {
	s := c.Objects[ObjectKey{KindDomainState, string(name)}].DomainState
	return s != nil && s.Out
}

// TargetDrained reports whether operators are draining the target.
func (c *Config) TargetDrained(name TargetName) bool {
	s := c.Objects[ObjectKey{KindTargetState, string(name)}].TargetState
	return s != nil && s.Drain
}

// Services returns the declared services in name order.
func (c *Config) Services() []*Service {
	var out []*Service
	for _, o := range c.Objects {
		if o.Service != nil {
			out = append(out, o.Service)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
