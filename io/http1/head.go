package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// head is the head of a response, by the grammar of RFC 9110 and RFC 9112. What does not keep to it is no response: readers that
// are lenient differ in what they make of it, above all in where its body ends.
type head struct {
	status int
	header http.Header
	// length is the length that the body states, -1 if it states none. chunked is set if it is sent in chunks instead.
	length  int64
	chunked bool
	// noBody is set if the response has no body, whatever length is stated.
	noBody bool
	// closes is set if the connection must not be used again.
	closes bool
}

// framed reports whether the end of the body shows without the end of the connection.
func (h *head) framed() bool { return h.noBody || h.chunked || h.length >= 0 }

// malformedError is the error of a head that does not keep to the grammar.
type malformedError struct{ what, text string }

func (e *malformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.what, e.text[:min(len(e.text), maxQuoted)])
}

// maxQuoted is how many bytes of a malformed head are quoted in an error.
const maxQuoted = 80

const (
	minStatus = 100
	maxStatus = 599
	// statusEnd is the length of a status line up to the end of the status.
	statusEnd = len("HTTP/1.1 200")
)

// readHead reads the head of a response to a request with the method.
func (c *conn) readHead(method string) (h *head, err error) {
	c.limit.begin(c.r.Buffered())
	defer c.limit.end()
	lines := lineReader{r: c.r, left: maxHeadBytes}
	line, err := lines.read()
	if err != nil {
		return nil, err
	}
	h = &head{header: http.Header{}, length: -1}
	http10, err := h.parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	err = lines.readFields(h.header)
	if err != nil {
		return nil, err
	}
	h.noBody = method == http.MethodHead || h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified
	h.closes = http10 && !hasToken(h.header, "keep-alive") || hasToken(h.header, "close")
	return h, h.parseFraming(http10)
}

// lineReader reads lines, up to a number of bytes that are left. A line may end without a CR, as RFC 9112 allows for heads, unless
// onlyCRLF is set.
type lineReader struct {
	r        *bufio.Reader
	left     int
	onlyCRLF bool
}

// read reads a line and returns it without its end.
func (l *lineReader) read() (line string, err error) {
	var long []byte
	for {
		part, err := l.r.ReadSlice('\n')
		l.left -= len(part)
		switch {
		case errors.Is(err, io.EOF):
			return "", io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case l.left < 0:
			return "", errHeadTooLarge
		case err == nil && long == nil:
			return l.withoutEnd(part)
		}
		long = append(long, part...)
		if err == nil {
			return l.withoutEnd(long)
		}
	}
}

func (l *lineReader) withoutEnd(data []byte) (line string, err error) {
	line, found := strings.CutSuffix(string(data[:len(data)-1]), "\r")
	if l.onlyCRLF && !found {
		return "", &malformedError{"line end", line}
	}
	return line, nil
}

// parseStatusLine parses the version, the status and the reason.
func (h *head) parseStatusLine(line string) (http10 bool, err error) {
	malformed := &malformedError{"status line", line}
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(line) > statusEnd && line[statusEnd] != ' ' || !isNumber(rest[:min(len(rest), 3)], 3) {
		return false, malformed
	}
	h.status, err = strconv.Atoi(rest[:3])
	reason := rest[3:]
	if err != nil || h.status < minStatus || h.status > maxStatus || !isValue(reason) {
		return false, malformed
	}
	return version == "HTTP/1.0", nil
}

// isNumber reports whether the text has digits only, and n of them, or at least one if n is 0.
func isNumber(text string, n int) bool {
	return text != "" && (n == 0 || len(text) == n) && strings.Trim(text, "0123456789") == ""
}

// statusLine matches the beginning of a response within a line: an earlier response was broken off there.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( |$)`)

// isValue reports whether the text may be the value of a field or a reason. A bare CR and other control bytes may not.
func isValue(text string) bool {
	return httpguts.ValidHeaderFieldValue(text) && !statusLine.MatchString(text)
}

// readFields reads fields up to the empty line after them. A line that continues the one before is refused, as RFC 9112 allows.
func (l *lineReader) readFields(fields http.Header) (err error) {
	for {
		line, err := l.read()
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !httpguts.ValidHeaderFieldName(name) || !isValue(value) {
			return &malformedError{"field", line}
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		fields[key] = append(fields[key], value)
	}
}

// parseFraming finds out where the body ends. A response that states it in two ways states none.
func (h *head) parseFraming(http10 bool) error {
	codings, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	delete(h.header, "Transfer-Encoding")
	if len(codings) > 0 {
		h.chunked = len(codings) == 1 && strings.EqualFold(codings[0], "chunked")
		if !h.chunked || http10 || len(lengths) > 0 {
			return &malformedError{"framing", strings.Join(append(codings, lengths...), ",")}
		}
		return nil
	}
	for _, text := range lengths {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || !isNumber(text, 0) || text != lengths[0] {
			return &malformedError{"Content-Length", strings.Join(lengths, ",")}
		}
		h.length = n
	}
	return nil
}

// hasToken reports whether the field Connection lists the token.
func hasToken(h http.Header, token string) bool {
	return httpguts.HeaderValuesContainsToken(h["Connection"], token)
}
