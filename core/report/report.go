package report

import (
	"fmt"
	"strings"
	"time"
)

// Report is one load report of an endpoint. AgeMs is the age of the values when the report was written, by the
// endpoint's own clock, so that the clocks of router and endpoint need not agree.
type Report struct {
	Incarnation string   `json:"incarnation"`
	AgeMs       int64    `json:"ageMs"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Tokens      int64    `json:"tokens"`
	Leaving     bool     `json:"leaving,omitempty"`
	Loaded      []string `json:"loaded,omitempty"`
	Fence       int64    `json:"fence,omitempty"`
}

// Age returns how old the values were when the report was written.
func (r Report) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// Requests returns how many requests the endpoint holds.
func (r Report) Requests() int { return r.Running + r.Waiting }

const headerFormat = "incarnation=%s ageMs=%d running=%d waiting=%d tokens=%d leaving=%t"

// Header returns the report as the value of the header Savoryfall-Load, which omits the loaded versions.
func (r Report) Header() string {
	return fmt.Sprintf(headerFormat, r.Incarnation, r.AgeMs, r.Running, r.Waiting, r.Tokens, r.Leaving)
}

// ParseHeader parses the value of the header; ok is false if it is empty or malformed.
func ParseHeader(value string) (r Report, ok bool) {
	n, err := fmt.Sscanf(value, headerFormat, &r.Incarnation, &r.AgeMs, &r.Running, &r.Waiting, &r.Tokens, &r.Leaving)
	if err != nil || n != strings.Count(headerFormat, "%") || r.AgeMs < 0 || r.Running < 0 || r.Waiting < 0 || r.Tokens < 0 {
		return Report{}, false
	}
	return r, true
}
