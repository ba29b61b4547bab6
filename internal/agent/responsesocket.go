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

// listenResponses opens the socket from which responses are sent to callers. It
// is bound to the service's address, because callers drop responses from any
// other. The address must be assigned to the host, for example on its loopback
// interface. Several agents of one host may share it; nothing is read from it.
func listenResponses(address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: setReusePort}
	conn, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind the service's address for responses: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, sockoptErr)
}
