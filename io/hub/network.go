package hub

import (
	"context"
	"net"
	"time"
)

// tcp is the network between VMs.
type tcp struct{}

// dialTimeout limits dialling a router: one whose VM is lost never responds.
const dialTimeout = 250 * time.Millisecond

func (tcp) Listen(address string) (l net.Listener, err error) { return net.Listen("tcp4", address) }

func (tcp) Dial(ctx context.Context, address string) (c net.Conn, err error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp4", address)
}
