package control

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"amaranthwheel.example/amaranthwheel/internal/controlpb"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// protocolVersion is raised by incompatible changes of the handshake.
const protocolVersion = 1

// Errors that end a handshake.
var (
	ErrCluster  = errors.New("peer belongs to another cluster")
	ErrProof    = errors.New("peer does not prove knowledge of a cluster secret")
	ErrSelf     = errors.New("peer carries this node's own ID")
	ErrProtocol = errors.New("peer speaks another protocol version")
	ErrNoSecret = errors.New("no cluster secret is configured")
)

// direction labels a proof, so that one side's cannot be sent back to it.
type direction string

const (
	fromDialer   direction = "dialer"
	fromAcceptor direction = "acceptor"
)

// peerInfo is what an authenticated peer says of itself.
type peerInfo struct {
	member  model.Member
	service model.ServiceName
}

// identity is this node's side of a handshake.
type identity struct {
	cluster string
	secrets [][]byte
	member  model.Member
	service model.ServiceName
}

// handshakeAsDialer authenticates both sides of a connection that this node
// opened.
func (id *identity) handshakeAsDialer(conn net.Conn) (peerInfo, error) {
	defer endDeadline(conn)
	mine, err := id.sendHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	theirs, peer, err := id.receiveHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	if err := id.sendProof(conn, fromDialer, mine, theirs); err != nil {
		return peerInfo{}, err
	}
	return peer, id.receiveProof(conn, fromAcceptor, mine, theirs)
}

// handshakeAsAcceptor authenticates both sides of an accepted connection. It
// sends its proof only to a peer that has proved itself.
func (id *identity) handshakeAsAcceptor(conn net.Conn) (peerInfo, error) {
	defer endDeadline(conn)
	theirs, peer, err := id.receiveHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	mine, err := id.sendHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	if err := id.receiveProof(conn, fromDialer, theirs, mine); err != nil {
		return peerInfo{}, err
	}
	return peer, id.sendProof(conn, fromAcceptor, theirs, mine)
}

func endDeadline(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
}

func (id *identity) sendHello(conn net.Conn) ([]byte, error) {
	if len(id.secrets) == 0 {
		return nil, ErrNoSecret
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	raw, err := proto.Marshal(&controlpb.Hello{
		Protocol: protocolVersion,
		Cluster:  id.cluster,
		Nonce:    nonce,
		Member:   encodeMember(&id.member),
		Service:  string(id.service),
	})
	if err != nil {
		return nil, fmt.Errorf("encode hello: %w", err)
	}
	return raw, writeDelimited(conn, raw)
}

func (id *identity) receiveHello(conn net.Conn) ([]byte, peerInfo, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	raw, err := readDelimited(conn)
	if err != nil {
		return nil, peerInfo{}, err
	}
	var hello controlpb.Hello
	if err := proto.Unmarshal(raw, &hello); err != nil {
		return nil, peerInfo{}, &MalformedError{err}
	}
	peer, err := id.checkHello(&hello)
	return raw, peer, err
}

func (id *identity) checkHello(hello *controlpb.Hello) (peerInfo, error) {
	if hello.GetProtocol() != protocolVersion {
		return peerInfo{}, ErrProtocol
	}
	if hello.GetCluster() != id.cluster {
		return peerInfo{}, ErrCluster
	}
	if len(hello.GetNonce()) != nonceBytes {
		return peerInfo{}, &MalformedError{&InvalidFieldError{"hello.nonce", len(hello.GetNonce())}}
	}
	member, err := decodeMember(hello.GetMember())
	if err != nil {
		return peerInfo{}, &MalformedError{err}
	}
	if err := checkName("hello.service", hello.GetService(), true); err != nil {
		return peerInfo{}, &MalformedError{err}
	}
	if member.Node == id.member.Node {
		return peerInfo{}, ErrSelf
	}
	return peerInfo{member, model.ServiceName(hello.GetService())}, nil
}

func (id *identity) sendProof(conn net.Conn, from direction, dialer, acceptor []byte) error {
	mac := proofMAC(id.secrets[0], from, dialer, acceptor)
	raw, err := proto.Marshal(&controlpb.Proof{Mac: mac})
	if err != nil {
		return fmt.Errorf("encode proof: %w", err)
	}
	return writeDelimited(conn, raw)
}

func (id *identity) receiveProof(conn net.Conn, from direction, dialer, acceptor []byte) error {
	raw, err := readDelimited(conn)
	if err != nil {
		return err
	}
	var proof controlpb.Proof
	if err := proto.Unmarshal(raw, &proof); err != nil {
		return &MalformedError{err}
	}
	for _, secret := range id.secrets {
		if hmac.Equal(proof.GetMac(), proofMAC(secret, from, dialer, acceptor)) {
			return nil
		}
	}
	return ErrProof
}

// proofMAC covers the direction and both Hello messages as sent, each with
// its length.
func proofMAC(secret []byte, from direction, dialer, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte("amaranthwheel control v1"), []byte(from), dialer, acceptor} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func writeDelimited(conn net.Conn, raw []byte) error {
	frame := binary.AppendUvarint(nil, uint64(len(raw)))
	_, err := conn.Write(append(frame, raw...))
	return err
}

// readDelimited reads one message of the handshake. It reads no byte beyond
// it, because yamux frames follow.
func readDelimited(conn net.Conn) ([]byte, error) {
	length, err := binary.ReadUvarint(byteReader{conn})
	if err != nil {
		return nil, fmt.Errorf("read message length: %w", err)
	}
	if length > maxHelloBytes {
		return nil, &protodelim.SizeTooLargeError{Size: length, MaxSize: maxHelloBytes}
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(conn, raw); err != nil {
		return nil, fmt.Errorf("read message: %w", err)
	}
	return raw, nil
}

// byteReader reads single bytes without buffering ahead.
type byteReader struct{ r io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var buf [1]byte
	_, err := io.ReadFull(b.r, buf[:])
	return buf[0], err
}
