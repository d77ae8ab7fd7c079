package http1

import (
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// CheckLenient returns an error if a response that net/http has read is none by the grammar: net/http takes fields whose names have
// blanks, and most statuses, as they come.
func CheckLenient(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || strings.HasPrefix(resp.Status, "+") || !isValue(resp.Status) {
		return &malformedError{"status", resp.Status}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &malformedError{"field", name}
		}
		for _, value := range values {
			if !isValue(textproto.TrimString(value)) {
				return &malformedError{"field", name + ": " + value}
			}
		}
	}
	return nil
}
