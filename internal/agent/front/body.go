package front

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// maxBufferedBody is the size of the prefix of a request's body that is buffered
// in memory, in bytes.
const maxBufferedBody = 64 << 10

// requestBody is a request's body: a buffered prefix and, if the body is longer,
// the rest, which can be read only once.
type requestBody struct {
	prefix []byte
	rest   io.Reader
	length int64 // -1 if unknown
}

// readBody buffers up to maxBufferedBody bytes of a request's body.
func readBody(r *http.Request) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	if len(prefix) < maxBufferedBody {
		return &requestBody{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return &requestBody{prefix: prefix, rest: r.Body, length: r.ContentLength}, nil
}

// replayable reports whether the body can be sent more than once.
func (b *requestBody) replayable() bool { return b.rest == nil }

// newReader returns the body for one attempt. The rest of a long body is read
// directly from the caller, so that a retry is possible only after an attempt
// that sent nothing.
func (b *requestBody) newReader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest)
}

// digest distinguishes requests with the same idempotency key. It covers the
// method, the URI and the body; of a long body only the prefix and the length.
func (b *requestBody) digest(r *http.Request) core.RequestDigest {
	hash := sha256.New()
	_, _ = io.WriteString(hash, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = hash.Write(b.prefix)
	if b.rest != nil {
		_, _ = io.WriteString(hash, "\x00"+strconv.FormatInt(b.length, 10))
	}
	return core.RequestDigest(hash.Sum(nil))
}
