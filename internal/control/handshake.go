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

// protocolVersion is incremented on incompatible changes to the handshake.
const protocolVersion = 1

// Errors that fail a handshake.
var (
	ErrCluster  = errors.New("peer belongs to another cluster")
	ErrProof    = errors.New("peer does not prove knowledge of a cluster secret")
	ErrSelf     = errors.New("peer has this node's own ID")
	ErrProtocol = errors.New("peer speaks another protocol version")
	ErrNoSecret = errors.New("no cluster secret is configured")
)

// direction is part of the data that a proof covers, so that a proof cannot be
// reflected to its sender.
type direction string

const (
	fromDialer   direction = "dialer"
	fromAcceptor direction = "acceptor"
)

// peerInfo is the record and the subscription from an authenticated peer's
// Hello.
type peerInfo struct {
	member  model.Member
	service model.ServiceName
}

// identity is what this node presents and verifies in a handshake.
type identity struct {
	cluster string
	secrets [][]byte
	member  model.Member
	service model.ServiceName
}

// handshakeAsDialer performs the handshake on a connection that this node
// opened.
func (id *identity) handshakeAsDialer(conn net.Conn) (peerInfo, error) {
	defer clearDeadline(conn)
	localHello, err := id.sendHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	remoteHello, peer, err := id.receiveHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	if err := id.sendProof(conn, fromDialer, localHello, remoteHello); err != nil {
		return peerInfo{}, err
	}
	return peer, id.receiveProof(conn, fromAcceptor, localHello, remoteHello)
}

// handshakeAsAcceptor performs the handshake on an accepted connection. It
// sends its own proof only after it has verified the peer's.
func (id *identity) handshakeAsAcceptor(conn net.Conn) (peerInfo, error) {
	defer clearDeadline(conn)
	remoteHello, peer, err := id.receiveHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	localHello, err := id.sendHello(conn)
	if err != nil {
		return peerInfo{}, err
	}
	if err := id.receiveProof(conn, fromDialer, remoteHello, localHello); err != nil {
		return peerInfo{}, err
	}
	return peer, id.sendProof(conn, fromAcceptor, remoteHello, localHello)
}

func clearDeadline(conn net.Conn) {
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

func (id *identity) sendProof(conn net.Conn, from direction, dialerHello, acceptorHello []byte) error {
	mac := proofMAC(id.secrets[0], from, dialerHello, acceptorHello)
	raw, err := proto.Marshal(&controlpb.Proof{Mac: mac})
	if err != nil {
		return fmt.Errorf("encode proof: %w", err)
	}
	return writeDelimited(conn, raw)
}

func (id *identity) receiveProof(conn net.Conn, from direction, dialerHello, acceptorHello []byte) error {
	raw, err := readDelimited(conn)
	if err != nil {
		return err
	}
	var proof controlpb.Proof
	if err := proto.Unmarshal(raw, &proof); err != nil {
		return &MalformedError{err}
	}
	for _, secret := range id.secrets {
		if hmac.Equal(proof.GetMac(), proofMAC(secret, from, dialerHello, acceptorHello)) {
			return nil
		}
	}
	return ErrProof
}

// proofMAC returns the HMAC over the direction and both Hello messages as sent,
// each preceded by its length.
func proofMAC(secret []byte, from direction, dialerHello, acceptorHello []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte("amaranthwheel control v1"), []byte(from), dialerHello, acceptorHello} {
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

// readDelimited reads one handshake message. It reads no byte beyond the
// message, because yamux frames follow.
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

// byteReader reads single bytes without buffering.
type byteReader struct{ r io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var buf [1]byte
	_, err := io.ReadFull(b.r, buf[:])
	return buf[0], err
}
