package front

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"

	"amaranthwheel.example/amaranthwheel/internal/core"
)

// maxBufferedBody is how much of a request's body is kept in memory, in bytes.
const maxBufferedBody = 64 << 10

// requestBody is a request's body: a buffered prefix and, if it is longer, the
// rest that can be read once.
type requestBody struct {
	prefix []byte
	rest   io.Reader
	length int64 // -1 if unknown
}

// readBody buffers the beginning of a body.
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

// open returns the body for one attempt. The rest of a long body is read from
// the caller, so only an attempt that sent nothing may be followed by another.
func (b *requestBody) open() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), b.rest)
}

// digest identifies a request under its key. Of a long body it covers the
// prefix and the length.
func (b *requestBody) digest(r *http.Request) core.RequestDigest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.RequestURI()+"\x00")
	_, _ = h.Write(b.prefix)
	if b.rest != nil {
		_, _ = io.WriteString(h, "\x00"+strconv.FormatInt(b.length, 10))
	}
	return core.RequestDigest(h.Sum(nil))
}
