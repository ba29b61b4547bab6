package core

import "amaranthwheel.example/amaranthwheel/internal/model"

// Message is a control message between two nodes with an open session.
// Package control carries them as protobuf.
type Message interface{ message() }

// Delta carries configuration objects and member records that are new to the
// receiver. ConfigVersion is the version the receiver holds complete once it
// has merged Objects, given that it held Since complete before; a receiver
// below Since keeps the objects but not the version, and pulls.
//
// An answer too large for one message comes in parts, in order; only the last
// one completes the version. An agent's delta is filtered by its subscription,
// which Service repeats.
type Delta struct {
	Service model.ServiceName
	// Part counts from 1 to Parts; both are 0 in a delta of one message.
	Part, Parts   uint32
	Since         uint64
	ConfigVersion uint64
	Objects       []model.Object
	Members       []model.Member
}

// Digest summarises what the sender holds, for anti-entropy.
type Digest struct {
	ConfigVersion uint64
	// Members is an order-independent hash over the sender's records that the
	// receiver is subscribed to.
	Members uint64
}

// Pull asks for all configuration objects after the version.
type Pull struct{ Since uint64 }

// Subscribe sets the service whose objects and members an agent wants.
type Subscribe struct{ Service model.ServiceName }

// Heartbeat renews an agent's lease at a watcher.
type Heartbeat struct {
	Sequence      uint64
	ConfigVersion uint64
}

// HeartbeatAck confirms a heartbeat.
type HeartbeatAck struct{ Sequence uint64 }

func (Delta) message()        {}
func (Digest) message()       {}
func (Pull) message()         {}
func (Subscribe) message()    {}
func (Heartbeat) message()    {}
func (HeartbeatAck) message() {}
