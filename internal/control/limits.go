package control

import "time"

const (
	// MaxMessageBytes bounds one encoded control message.
	MaxMessageBytes = 256 << 10
	// maxHelloBytes bounds the messages of peers not yet authenticated.
	maxHelloBytes = 4 << 10
	nonceBytes    = 32
	// sendQueueLength bounds the messages that wait for one peer. A peer that
	// falls further behind is dropped.
	sendQueueLength = 256
	// handoverBacklog bounds the accepted streams that wait for Accept.
	handoverBacklog = 256
	// maxHandshakes bounds the accepted connections not yet authenticated.
	maxHandshakes = 64

	dialTimeout      = 3 * time.Second
	handshakeTimeout = 3 * time.Second
	// messageTimeout bounds reading the rest of a message once its first byte
	// has come, and writing one message.
	messageTimeout = 5 * time.Second
	// keepAliveInterval is the period of yamux pings, which find dead peers
	// on idle sessions.
	keepAliveInterval = 10 * time.Second
)
