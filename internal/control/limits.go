package control

import "time"

const (
	// MaxMessageBytes is the maximum size of one encoded control message.
	MaxMessageBytes = 256 << 10
	// maxHelloBytes is the maximum size of one handshake message, which a peer
	// sends before it is authenticated.
	maxHelloBytes = 4 << 10
	nonceBytes    = 32
	// sendQueueLength is the number of messages queued for one peer. The
	// session of a peer that falls further behind is closed.
	sendQueueLength = 256
	// handoverBacklog is the number of incoming hand-over streams that wait for
	// Accept.
	handoverBacklog = 256
	// maxHandshakes is the maximum number of accepted connections that are not
	// yet authenticated.
	maxHandshakes = 64

	dialTimeout      = 3 * time.Second
	handshakeTimeout = 3 * time.Second
	// messageTimeout limits the time to read the rest of a message after its
	// first byte, and the time to write one message.
	messageTimeout = 5 * time.Second
	// keepAliveInterval is the interval of yamux pings, which detect dead peers
	// on idle sessions.
	keepAliveInterval = 10 * time.Second
)
