package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Peers holds the section peers: communication between the routers of the fleet.
type Peers struct {
	address        string
	certificate    string
	key            string
	authority      string
	period         time.Duration
	bytesPerSecond int64
	connections    Connections
}

func readPeers(t *tomldoc.Table) (p Peers) {
	p.address = readAddress(t)
	p.certificate, p.key = readCertificate(t)
	p.authority = t.String("authority", "")
	p.period = t.Duration("period", time.Second, 20*time.Millisecond, time.Minute)
	p.bytesPerSecond = t.Int("budgetBytesPerSecond", 2048, 512, 1<<20)
	p.connections = readPeerConnections(t)
	if p.certificate != "" && p.authority == "" {
		t.AddError("authority", "nothing", "the file of the CA certificates that signed the peers' certificates")
	}
	return p
}

// Connections returns what the connections of hosts may take that are not known as routers.
func (p Peers) Connections() Connections { return p.connections }

// Address returns the listen address for other routers.
func (p Peers) Address() string { return p.address }

// Certificate returns the file of the TLS certificate that is presented in both directions; empty disables TLS.
func (p Peers) Certificate() string { return p.certificate }

// Key returns the file of the certificate's private key.
func (p Peers) Key() string { return p.key }

// Authority returns the file of the CA certificates that peers are verified against.
func (p Peers) Authority() string { return p.authority }

// Period returns the interval at which heartbeats and load digests are exchanged.
func (p Peers) Period() time.Duration { return p.period }

// BytesPerSecond returns the limit on control traffic in bytes per second.
func (p Peers) BytesPerSecond() int64 { return p.bytesPerSecond }
