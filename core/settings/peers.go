package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Peers says how the routers of the fleet speak to each other.
type Peers struct {
	address     string
	certificate string
	key         string
	authority   string
	period      time.Duration
	budget      int64
}

func readPeers(t *tomldoc.Table) (p Peers) {
	p.address = readAddress(t)
	p.certificate, p.key = readCertificate(t)
	p.authority = t.Text("authority", "")
	p.period = t.Duration("period", time.Second, 20*time.Millisecond, time.Minute)
	p.budget = t.Number("budgetBytesPerSecond", 2048, 512, 1<<20)
	if p.certificate != "" && p.authority == "" {
		t.Fault("authority", "nothing", "the certificate file of the authority that signed the peers")
	}
	return p
}

// Address is where peers are served.
func (p Peers) Address() string { return p.address }

// Certificate is the file of the TLS certificate that both sides show; empty means no TLS.
func (p Peers) Certificate() string { return p.certificate }

// Key is the file of the certificate's key.
func (p Peers) Key() string { return p.key }

// Authority is the file of the certificates that peers are checked against.
func (p Peers) Authority() string { return p.authority }

// Period is how often this router exchanges heartbeats and load digests.
func (p Peers) Period() time.Duration { return p.period }

// Budget is how many bytes a second control traffic may take.
func (p Peers) Budget() int64 { return p.budget }
