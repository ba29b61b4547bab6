package capacity

import (
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/core/topology"
)

// Protocol is how often the control protocols send, as the packages in internal/core
// set it by default. It multiplies the measured slopes.
type Protocol struct {
	// Watchers is the number of balancers that a node sends heartbeats to
	// (package topology).
	Watchers float64
	// PeerSessions is the number of sessions that a balancer opens to other
	// balancers: its watchers and its successor (package topology).
	PeerSessions float64
	// HeartbeatsPerSecond is sent to each watcher (package membership).
	HeartbeatsPerSecond float64
	// DigestInterval is the time between digests over one session, in seconds
	// (package dissemination).
	DigestInterval float64
	// EventsPerRestart is the record changes of one restart: draining, left or
	// dead, alive, and announced.
	EventsPerRestart float64
	// EventsPerLoss is the record changes of one lost node: suspect and dead.
	EventsPerLoss float64
	// SendLimit is the bytes a second that a node may send to others, and
	// SendBurst what it may send at once (package dissemination).
	SendLimit, SendBurst float64
	// StoreReaders is the number of balancers that watch the store, and
	// StorePollSpacing the mean time between the fallback reads of all balancers,
	// in seconds (package configuration).
	StoreReaders, StorePollSpacing float64
	// WatchAge is the mean life of a watch, in seconds (package configstore).
	WatchAge float64
	// KeepAliveInterval is the time between the pings of a session, in seconds
	// (package control).
	KeepAliveInterval float64
	// TickInterval is the time between ticks, in seconds (package core).
	TickInterval float64
}

// Defaults returns the protocol with the options that nodes start with.
func Defaults() Protocol {
	return Protocol{
		Watchers: topology.WatchersPerNode, PeerSessions: topology.WatchersPerNode + 1, HeartbeatsPerSecond: 1, DigestInterval: 5,
		EventsPerRestart: 4, EventsPerLoss: 2, SendLimit: 64 << 10, SendBurst: 512 << 10,
		StoreReaders: 3, StorePollSpacing: 3, WatchAge: 90, KeepAliveInterval: 10, TickInterval: core.TickInterval.Seconds(),
	}
}

// Bytes of headers that no measurement here sees, on IPv4.
const (
	// tcpHeaders is an IP and a TCP header with the timestamp option.
	tcpHeaders = 20 + 20 + 12
	// udpHeaders is an IP and a UDP header.
	udpHeaders = 20 + 8
	// pingBytes is a yamux ping, which is answered by another.
	pingBytes = 12
)
