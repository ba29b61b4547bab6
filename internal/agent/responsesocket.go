package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenAnswers opens the socket that answers to callers leave from: it is
// bound to the service's address, because callers drop answers from any other.
// The address must be on the host, such as on its loopback interface. Several
// agents of one host may share it; nothing is read from it.
func listenAnswers(address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: reusePort}
	conn, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind the service's address for answers: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}
