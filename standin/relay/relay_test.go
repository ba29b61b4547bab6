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

// quiet is how long a test waits to see that nothing passes.
const quiet = 150 * time.Millisecond

// echoServer answers each line with itself until the test ends.
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

// talk sends a line and reads it back within the limit.
func talk(conn net.Conn, line string, limit time.Duration) error {
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(limit))
	got, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && got != line+"\n" {
		return fmt.Errorf("got %q", got)
	}
	return err
}

func TestCutHoldsBytesBack(t *testing.T) {
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
	if err := talk(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	r.Set(Held)
	if err := talk(conn, "during", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("while cut: %v, want no answer", err)
	}
	r.Set(None)
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	if got, err := bufio.NewReader(conn).ReadString('\n'); err != nil || got != "during\n" {
		t.Errorf("after the cut: %q, %v, want the held line", got, err)
	}
}

func TestCloseEndsConnectionsWhileCut(t *testing.T) {
	r, err := Start("127.0.0.1:0", echoServer(t), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := talk(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	r.Set(Held)
	fmt.Fprintln(conn, "held")
	r.Close()
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the close: %v, want the connection ended", err)
	}
}

// startRelay starts a relay to an echo server and a connection over it.
func startRelay(t *testing.T) (*Relay, net.Conn) {
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
	if err := talk(conn, "before", time.Minute); err != nil {
		t.Fatal(err)
	}
	return r, conn
}

func TestLostBytesDoNotComeLater(t *testing.T) {
	for _, fault := range []Fault{LostTo, LostFrom} {
		t.Run(fault.String(), func(t *testing.T) {
			r, conn := startRelay(t)
			r.Set(fault)
			if err := talk(conn, "during", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("during the fault: %v, want no answer", err)
			}
			r.Set(None)
			if err := talk(conn, "after", quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("on the broken connection: %v, want no answer", err)
			}
		})
	}
}

func TestResetEndsOldAndNewConnections(t *testing.T) {
	r, conn := startRelay(t)
	r.Set(Reset)
	if err := talk(conn, "during", time.Minute); err == nil {
		t.Error("the open connection passes bytes")
	}
	next, err := net.Dial("tcp", r.Address())
	if err == nil {
		defer next.Close()
		err = talk(next, "new", time.Minute)
	}
	if err == nil {
		t.Error("a new connection passes bytes")
	}
}

func TestSlowDelaysBothDirections(t *testing.T) {
	r, conn := startRelay(t)
	r.Set(Slow)
	began := time.Now()
	if err := talk(conn, "during", time.Minute); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*slowBy {
		t.Errorf("the answer took %v, want at least %v", took, 2*slowBy)
	}
}
