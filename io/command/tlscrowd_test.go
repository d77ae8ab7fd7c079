package command_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
	"savoryfall/io/standin/selfsigned"
	"savoryfall/platform/standin/badclient"
)

const (
	tlsAccount = "guardia"
	// manyDescriptors do not bound a crowd: the memory does.
	manyDescriptors = 4096
)

// tlsRouter is a router under a crowd with TLS at all of its addresses, in front of a plain service.
type tlsRouter struct {
	*crowdRouter
	// addresses are those that it listens on by section of the settings.
	addresses map[string]string
	// crowd is the configuration of clients of a crowd, which have a certificate that no authority knows.
	crowd  *tls.Config
	client *http.Client
}

// newTLSRouter starts a router that may have as many descriptors.
func newTLSRouter(t *testing.T, descriptors int) (r *tlsRouter) {
	platform := fleet.New(fleet.Options{Services: 1, Accounts: []string{tlsAccount}}, log.NewNopLogger())
	assert.NilError(t, platform.Start(t.Context()))
	t.Cleanup(func() { _ = platform.Stop(t.Context()) })
	certFile, keyFile, err := selfsigned.Write(t.TempDir(), "router", net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	r = &tlsRouter{addresses: map[string]string{"callers": loopbackAddress(), "operators": loopbackAddress(), "peers": loopbackAddress()}}
	settings := fmt.Sprintf("[vm]\nname = \"vm0\"\nfailureDomain = \"a\"\nmemoryMB = %d\n", crowdMemoryMB)
	files := fmt.Sprintf("certificate = %q\nkey = %q\n", certFile, keyFile)
	settings += fmt.Sprintf("[callers]\naddress = %q\n%s", r.addresses["callers"], files)
	settings += fmt.Sprintf("[operators]\naddress = %q\n%s", r.addresses["operators"], files)
	settings += fmt.Sprintf("[peers]\naddress = %q\n%sauthority = %q\n", r.addresses["peers"], files, certFile)
	settings += fmt.Sprintf("[platform]\nlog = \"http://%s\"\nvmList = \"http://%s\"\n", platform.Address("log"), platform.Address("vms"))
	r.crowdRouter, _ = startRouterWithin(t, "router", settings, crowdMemoryMB, descriptors)
	r.crowd = &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{newPair(t)}}
	authority, err := os.ReadFile(certFile)
	assert.NilError(t, err)
	trusted := x509.NewCertPool()
	assert.Assert(t, trusted.AppendCertsFromPEM(authority))
	r.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: trusted, ServerName: "127.0.0.1"}}}
	assert.Assert(t, r.serves())
	return r
}

// newPair returns a certificate that no router's authority has signed.
func newPair(t *testing.T) (pair tls.Certificate) {
	certFile, keyFile, err := selfsigned.Write(t.TempDir(), "stranger", net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	pair, err = tls.LoadX509KeyPair(certFile, keyFile)
	assert.NilError(t, err)
	return pair
}

// serves sends an ordinary request over TLS, and again while it is refused as not run, for as long as an ordinary client would.
func (r *tlsRouter) serves() (served bool) {
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
		if r.status("callers", fleet.ServicePath+"list") == http.StatusOK {
			return true
		}
	}
	return false
}

// status returns the status of a response, 0 if there is none.
func (r *tlsRouter) status(section, path string) int {
	req, err := http.NewRequest(http.MethodGet, "https://"+r.addresses[section]+path, nil)
	assert.NilError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(tlsAccount))
	resp, err := r.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// playTLSCrowd plays one kind against the address of a section of a router that may have as many descriptors.
func playTLSCrowd(t *testing.T, kind func(cfg *tls.Config) badclient.Client, n int, section string, descriptors int) {
	r := newTLSRouter(t, descriptors)
	r.playCrowd(kind(r.crowd), n, r.addresses[section], func() {})
	r.checkBounds()
	assert.Assert(t, r.serves())
	assert.Equal(t, r.status("operators", "/metrics"), http.StatusOK)
}

// playsAllTLSCrowds reports whether TLS_CROWDS=all asks for every kind at every address.
func playsAllTLSCrowds() bool { return os.Getenv("TLS_CROWDS") == "all" }

// usualTLSCrowds are the kinds by section that are played otherwise.
var usualTLSCrowds = map[string][]string{
	"callers":   {"largest ClientHello, complete", "key updates"},
	"operators": {"largest ClientHello, but for its end"},
	"peers":     {"most certificates"},
}

// handshakeKinds returns the ways to misuse TLS at the address of a section.
func handshakeKinds(section string, cfg *tls.Config) (kinds map[string]badclient.Client) {
	kinds = badclient.HandshakeKinds(cfg)
	if section == "peers" {
		maps.Copy(kinds, badclient.CertificateKinds(cfg))
	}
	return kinds
}

// handshakeClients returns how many connections a crowd of the kind keeps open.
func handshakeClients(kind string) int {
	if kind == "never begun" || kind == "part of a ClientHello" {
		return silentClients
	}
	return crowdClients
}

// Guards against a router that is ended for its memory, or left without descriptors, by clients that begin handshakes and don't complete
// them, or misuse TLS after them.
func TestCrowdInTLSHandshakes(t *testing.T) {
	for section, names := range usualTLSCrowds {
		if playsAllTLSCrowds() {
			names = slices.Sorted(maps.Keys(handshakeKinds(section, &tls.Config{InsecureSkipVerify: true})))
		}
		for _, name := range names {
			t.Run(section+"/"+name, func(t *testing.T) {
				kind := func(cfg *tls.Config) badclient.Client { return handshakeKinds(section, cfg)[name] }
				playTLSCrowd(t, kind, handshakeClients(name), section, crowdDescriptors)
			})
		}
	}
}

// Guards against a router that is ended for its memory, or left without descriptors, by what clients send over TLS.
func TestCrowdOverTLS(t *testing.T) {
	names := []string{"head without end", "empty lines between requests", "key updates in a head"}
	if playsAllTLSCrowds() {
		names = slices.Sorted(maps.Keys(badclient.RequestKinds("", "", &tls.Config{InsecureSkipVerify: true})))
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			kind := func(cfg *tls.Config) badclient.Client {
				return badclient.RequestKinds("shop.example", fleet.APIKey(tlsAccount), cfg)[name]
			}
			playTLSCrowd(t, kind, crowdClients, "callers", crowdDescriptors)
		})
	}
}

// Guards against TLS connections that take more memory than is counted for them, where descriptors do not bound their number.
func TestCrowdInTLSHandshakesWithManyDescriptors(t *testing.T) {
	kinds := []string{"largest ClientHello, complete", "largest ClientHello, but for its end", "message after the handshake, without end"}
	if playsAllTLSCrowds() {
		kinds = append(kinds, "record that never ends", "handshake, then silence")
	}
	for _, name := range kinds {
		t.Run(name, func(t *testing.T) {
			kind := func(cfg *tls.Config) badclient.Client { return badclient.HandshakeKinds(cfg)[name] }
			playTLSCrowd(t, kind, silentClients, "callers", manyDescriptors)
		})
	}
}

// Guards against hosts that are not known as routers and whose handshakes take more memory than is counted for them.
func TestCrowdInPeerHandshakesWithManyDescriptors(t *testing.T) {
	kinds := []string{"most certificates"}
	if playsAllTLSCrowds() {
		kinds = append(kinds, "most certificates, but for their end", "largest ClientHello, complete", "largest ClientHello, but for its end")
	}
	for _, name := range kinds {
		t.Run(name, func(t *testing.T) {
			kind := func(cfg *tls.Config) badclient.Client { return handshakeKinds("peers", cfg)[name] }
			playTLSCrowd(t, kind, crowdClients, "peers", manyDescriptors)
		})
	}
}
