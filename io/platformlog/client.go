package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"savoryfall/core/annotate"
)

// maxResponseBytes limits the size of a response, so that a faulty service cannot exhaust the memory.
const maxResponseBytes = 64 << 20

// Client is a client of the log service. It never retries an append, because the first one may have taken effect.
type Client struct {
	base   string
	client *http.Client
}

// New creates a client of the service at the base URL. The transport of client is expected to measure and limit the
// traffic.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// Record is one record of a stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

// Page is a sequence of records. First is the oldest offset that is still retained, and Next the one after the newest.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// TrimmedError reports that the records from Requested on are no longer all retained. First is the oldest that is.
type TrimmedError struct{ Requested, First int64 }

func (e TrimmedError) Error() string {
	return fmt.Sprintf("log records before offset %d have been trimmed, want %d", e.First, e.Requested)
}

// Append adds a record. After an error other than a StatusError it is unknown whether the record was added.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	defer annotate.Error(&err, "append to stream %s", stream)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/octet-stream")
	var result struct {
		Offset int64 `json:"offset"`
	}
	err = c.do(r, &result)
	return result.Offset, err
}

// Read reads up to max records from the offset on. If there is none, it waits for one for up to wait.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (p Page, err error) {
	defer annotate.Error(&err, "read stream %s from %d", stream, from)
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("max", strconv.Itoa(max))
	q.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, q), nil)
	if err != nil {
		return p, err
	}
	err = c.do(r, &p)
	if err == nil && from < p.First {
		err = TrimmedError{Requested: from, First: p.First}
	}
	return p, err
}

func (c *Client) url(stream string, q url.Values) string {
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	if len(q) == 0 {
		return u
	}
	return u + "?" + q.Encode()
}

func (c *Client) do(r *http.Request, result any) (err error) {
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(body))}
	}
	return json.Unmarshal(body, result)
}

// StatusError reports a response with a status other than 200. The service guarantees that the request had no effect.
type StatusError struct {
	Status  int
	Message string
}

func (e StatusError) Error() string {
	return fmt.Sprintf("the log service answered %d: %s", e.Status, e.Message)
}
