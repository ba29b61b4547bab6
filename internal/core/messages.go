package core

import "amaranthwheel.example/amaranthwheel/internal/model"

// Message is a control message between two nodes with an open session.
// Package control carries them as protobuf.
type Message interface{ message() }

// Delta carries configuration objects and member records that are new to the
// receiver. ConfigVersion is the version the receiver holds complete once it
// has merged Objects, given that it held Since complete before; a receiver
// below Since keeps the objects but not the version, and pulls.
type Delta struct {
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

// Pull asks for everything after the version, and for all member records
// if the digests differed.
type Pull struct {
	Since   uint64
	Members bool
}

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
