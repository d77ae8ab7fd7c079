package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"savoryfall/core/annotate"
)

const maxAnswer = 16 << 20

// VM is one entry of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Role          string `json:"role"`
	Leaving       bool   `json:"leaving,omitempty"`
}

const (
	// RoleRouter marks a VM of the fleet itself; its address is the one its peers call.
	RoleRouter = "router"
	// RoleEndpoint marks a VM that an endpoint of the same name runs on.
	RoleEndpoint = "endpoint"
)

// List is a client of the VM list.
type List struct {
	base   string
	client *http.Client
}

// New makes a client of the list at the base URL.
func New(base string, client *http.Client) *List {
	return &List{base: base, client: client}
}

// Read brings the list, which may lag; an unchanged list is answered by its tag and costs few bytes.
func (l *List) Read(ctx context.Context, tag string) (vms []VM, newTag string, changed bool, err error) {
	defer annotate.Error(&err, "read VM list")
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/vms", nil)
	if err != nil {
		return nil, "", false, err
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, "", false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, tag, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", false, fmt.Errorf("the VM list answered %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&vms)
	return vms, resp.Header.Get("Etag"), true, err
}
