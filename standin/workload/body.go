package workload

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math/rand/v2"
)

// lengthPrefixBytes is the size of the length prefix of each seed component.
const lengthPrefixBytes = 8

// Stream generates a deterministic byte sequence from a request ID and a
// service name. Equal inputs give equal streams.
type Stream struct {
	source    *rand.ChaCha8
	remaining int64
}

// NewResponseBody returns the body of a service's response to a request, size
// bytes long.
func NewResponseBody(requestID, service string, size int64) *Stream {
	return newStream("answer", requestID, service, size)
}

// NewRequestBody returns the body of a request to a service, size bytes long.
func NewRequestBody(requestID, service string, size int64) *Stream {
	return newStream("body", requestID, service, size)
}

func newStream(kind, requestID, service string, size int64) *Stream {
	h := sha256.New()
	for _, component := range []string{kind, requestID, service} {
		var length [lengthPrefixBytes]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(component)))
		h.Write(length[:])
		io.WriteString(h, component)
	}
	return &Stream{source: rand.NewChaCha8([32]byte(h.Sum(nil))), remaining: max(size, 0)}
}

// Read implements io.Reader; it returns io.EOF after the stream's last byte.
func (s *Stream) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > s.remaining {
		p = p[:s.remaining]
	}
	n, err := s.source.Read(p)
	s.remaining -= int64(n)
	return n, err
}

// Digest is the SHA-256 digest of a byte sequence and its length.
type Digest struct {
	// SHA256 is hexadecimal.
	SHA256 string `json:"sha256"`
	Bytes  int64  `json:"bytes"`
}

// ComputeDigest reads to the end and returns the digest of the bytes read,
// even if reading fails.
func ComputeDigest(r io.Reader) (Digest, error) {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return Digest{SHA256: hex.EncodeToString(h.Sum(nil)), Bytes: n}, err
}

// ResponseDigest returns the digest of the complete response body of a
// service to a request.
func ResponseDigest(requestID, service string, size int64) Digest {
	d, _ := ComputeDigest(NewResponseBody(requestID, service, size)) // Stream.Read returns no error but io.EOF
	return d
}

// RequestBodyDigest returns the digest of a request's complete body.
func RequestBodyDigest(requestID, service string, size int64) Digest {
	d, _ := ComputeDigest(NewRequestBody(requestID, service, size)) // Stream.Read returns no error but io.EOF
	return d
}
