package workload

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math/rand/v2"
)

// chunkBytes is how much of a stream one generated word yields.
const chunkBytes = 8

// Stream yields bytes that are a function of a request and the service that
// answers it. Equal names give equal streams.
type Stream struct {
	source *rand.ChaCha8
	left   int64
}

// NewAnswer returns the answer of a service to a request, size bytes long.
func NewAnswer(requestID, service string, size int64) *Stream {
	return newStream("answer", requestID, service, size)
}

// NewBody returns the body of a request to a service, size bytes long.
func NewBody(requestID, service string, size int64) *Stream {
	return newStream("body", requestID, service, size)
}

func newStream(kind, requestID, service string, size int64) *Stream {
	h := sha256.New()
	for _, part := range []string{kind, requestID, service} {
		var length [chunkBytes]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		io.WriteString(h, part)
	}
	return &Stream{source: rand.NewChaCha8([32]byte(h.Sum(nil))), left: max(size, 0)}
}

// Read implements io.Reader; it returns io.EOF after the stream's last byte.
func (s *Stream) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > s.left {
		p = p[:s.left]
	}
	n, err := s.source.Read(p)
	s.left -= int64(n)
	return n, err
}

// Digest is a digest of bytes and their count.
type Digest struct {
	// SHA256 is the digest in hexadecimal.
	SHA256 string `json:"sha256"`
	Bytes  int64  `json:"bytes"`
}

// DigestOf reads to the end and returns the digest of what was read, also
// when reading ends in an error.
func DigestOf(r io.Reader) (Digest, error) {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return Digest{SHA256: hex.EncodeToString(h.Sum(nil)), Bytes: n}, err
}

// AnswerDigest returns the digest of a service's whole answer to a request.
func AnswerDigest(requestID, service string, size int64) Digest {
	d, _ := DigestOf(NewAnswer(requestID, service, size)) // a Stream never fails
	return d
}

// BodyDigest returns the digest of a request's whole body.
func BodyDigest(requestID, service string, size int64) Digest {
	d, _ := DigestOf(NewBody(requestID, service, size)) // a Stream never fails
	return d
}
