package core

import "amaranthwheel.example/amaranthwheel/internal/model"

// Message is a control message between two nodes with an open session.
// Package control carries them as protobuf.
type Message interface{ message() }

// Delta carries configuration objects and member records that are new to the
// receiver. A receiver that is complete up to Since is complete up to
// ConfigVersion once it has merged Objects; a receiver below Since stores the
// objects but not the version, and sends a Pull.
//
// A delta too large for one message is sent in parts, in order; only the last
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

// Digest summarises the sender's state, for anti-entropy.
type Digest struct {
	ConfigVersion uint64
	// Members is an order-independent hash over the sender's records that the
	// receiver is subscribed to.
	Members uint64
}

// Pull requests all configuration objects changed after a version.
type Pull struct{ Since uint64 }

// Subscribe sets the service whose objects and members an agent receives.
type Subscribe struct{ Service model.ServiceName }

// Heartbeat renews an agent's lease at a watcher.
type Heartbeat struct {
	Sequence      uint64
	ConfigVersion uint64
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct{ Sequence uint64 }

func (Delta) message()        {}
func (Digest) message()       {}
func (Pull) message()         {}
func (Subscribe) message()    {}
func (Heartbeat) message()    {}
func (HeartbeatAck) message() {}
