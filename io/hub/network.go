package hub

import (
	"context"
	"net"
	"time"
)

// tcp is the network of the VMs.
type tcp struct{}

// dialWithin bounds the making of a connection to a router: one whose VM is lost does not answer at all.
const dialWithin = 250 * time.Millisecond

func (tcp) Listen(address string) (l net.Listener, err error) { return net.Listen("tcp4", address) }

func (tcp) Dial(ctx context.Context, address string) (c net.Conn, err error) {
	d := net.Dialer{Timeout: dialWithin}
	return d.DialContext(ctx, "tcp4", address)
}
