package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// newBody returns a reader of the body that follows the head. It returns io.EOF only at the end of the body.
func newBody(h *head, r *bufio.Reader) io.Reader {
	switch {
	case h.noBody:
		return http.NoBody
	case h.chunked:
		return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
	case h.length >= 0:
		return &lengthBody{r: r, left: h.length}
	}
	return r
}

// lengthBody is a body of a stated length.
type lengthBody struct {
	r    io.Reader
	left int64
}

func (b *lengthBody) Read(p []byte) (n int, err error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err = b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// maxTrailerBytes bounds the fields after a body in chunks.
const maxTrailerBytes = 4 << 10

// chunkedBody is a body in chunks, after which fields may follow, which are dropped.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	ended  bool
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err = b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	trailers := lineReader{r: b.r, left: maxTrailerBytes, onlyCRLF: true}
	err = trailers.readFields(http.Header{})
	if err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}
