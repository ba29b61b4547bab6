package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// quiet is how long a test waits to conclude that nothing is forwarded.
const quiet = 150 * time.Millisecond

// echoServer echoes all bytes until the test ends, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// echoLine sends a line and waits for its echo until the timeout.
func echoLine(conn net.Conn, line string, timeout time.Duration) error {
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	got, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && got != line+"\n" {
		return fmt.Errorf("got %q", got)
	}
	return err
}

func TestStallDelaysBytes(t *testing.T) {
	r, err := Start("127.0.0.1:0", echoServer(t), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := echoLine(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	r.SetFault(Stalled)
	if err := echoLine(conn, "during", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("while stalled: %v, want no echo", err)
	}
	r.SetFault(None)
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	if got, err := bufio.NewReader(conn).ReadString('\n'); err != nil || got != "during\n" {
		t.Errorf("after the stall: %q, %v, want the delayed line", got, err)
	}
}

func TestCloseEndsStalledConnections(t *testing.T) {
	r, err := Start("127.0.0.1:0", echoServer(t), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := echoLine(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	r.SetFault(Stalled)
	fmt.Fprintln(conn, "held")
	r.Close()
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the close: %v, want the connection ended", err)
	}
}

// startEchoRelay starts a relay to an echo server and opens a connection through it.
func startEchoRelay(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	r, err := Start("127.0.0.1:0", echoServer(t), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := echoLine(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	return r, conn
}

func TestDroppedBytesAreNotDeliveredLater(t *testing.T) {
	for _, fault := range []Fault{DropToUpstream, DropFromUpstream} {
		t.Run(fault.String(), func(t *testing.T) {
			r, conn := startEchoRelay(t)
			r.SetFault(fault)
			if err := echoLine(conn, "during", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("during the fault: %v, want no echo", err)
			}
			r.SetFault(None)
			if err := echoLine(conn, "after", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("on the connection with dropped bytes: %v, want no echo", err)
			}
		})
	}
}

func TestResetEndsOpenAndNewConnections(t *testing.T) {
	r, conn := startEchoRelay(t)
	r.SetFault(Reset)
	if err := echoLine(conn, "during", time.Minute); err == nil {
		t.Error("the open connection still forwards bytes")
	}
	newConn, err := net.Dial("tcp", r.Address())
	if err == nil {
		defer newConn.Close()
		err = echoLine(newConn, "new", time.Minute)
	}
	if err == nil {
		t.Error("a new connection forwards bytes")
	}
}

func TestSlowDelaysBothDirections(t *testing.T) {
	r, conn := startEchoRelay(t)
	r.SetFault(Slow)
	startedAt := time.Now()
	if err := echoLine(conn, "during", time.Minute); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(startedAt); elapsed < 2*slowDelay {
		t.Errorf("the echo arrived after %v, want at least %v", elapsed, 2*slowDelay)
	}
}
