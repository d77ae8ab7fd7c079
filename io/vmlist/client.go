package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"savoryfall/core/annotate"
)

const maxResponseBytes = 16 << 20

// VM is an entry of the VM list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving,omitempty"`
}

const (
	// RoleRouter is the role of a VM that runs a router; its address is the one for peers.
	RoleRouter = "router"
	// RoleEndpoint is the role of a VM that runs an endpoint of the same name.
	RoleEndpoint = "endpoint"
)

// Client is a client of the VM list.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the list at the base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// Fetch fetches the list, which may be out of date. If the list still has the given ETag, the server sends no body and
// changed is false.
func (l *Client) Fetch(ctx context.Context, etag string) (vms []VM, newETag string, changed bool, err error) {
	defer annotate.Error(&err, "read VM list")
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/vms", nil)
	if err != nil {
		return nil, "", false, err
	}
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, "", false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, etag, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", false, fmt.Errorf("VM list service responded with status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vms)
	return vms, resp.Header.Get("Etag"), true, err
}
