package fleet_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/io/fleet"
	"savoryfall/io/standin/selfsigned"
)

// certificate writes a self-signed certificate for loopback, and its key.
func certificate(t *testing.T, name string) (certFile, keyFile string) {
	t.Helper()
	certFile, keyFile, err := selfsigned.Write(t.TempDir(), name, net.IPv4(127, 0, 0, 1))
	assert.NilError(t, err)
	return certFile, keyFile
}

// Clients are served over TLS, and peers use mutual TLS: a peer without a certificate, or with one from another
// authority, is rejected.
func TestTLS(t *testing.T) {
	cert, key := certificate(t, "fleet")
	files := fmt.Sprintf("certificate = %q\nkey = %q\n", cert, key)
	f := start(t, fleet.Options{Routers: 2, Engines: 1, ExtraSettings: map[string]string{
		"peers": fastPeers + files + fmt.Sprintf("authority = %q\n", cert), "callers": "lameDuck = \"0s\"\n" + files,
		"routing": "probePeriod = \"200ms\"\n",
	}})
	waitFor(t, "the peers are in contact", func() bool {
		return memberState(t, f.Routers()[0], "entry-2") == "alive" && status(t, f.Routers()[0]).Members[0].Incarnation > 0
	})
	authority, err := os.ReadFile(cert)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(authority))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + f.Routers()[0].CallerAddress() + "/readyz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	untrustedCert, untrustedKey := certificate(t, "stranger")
	pair, err := tls.LoadX509KeyPair(untrustedCert, untrustedKey)
	assert.NilError(t, err)
	for _, certs := range [][]tls.Certificate{nil, {pair}} {
		c, err := tls.Dial("tcp", f.Routers()[0].PeerAddress(), &tls.Config{RootCAs: pool, Certificates: certs})
		if err == nil {
			_, err = c.Read(make([]byte, 1))
			_ = c.Close()
		}
		assert.ErrorContains(t, err, "tls")
	}
}
