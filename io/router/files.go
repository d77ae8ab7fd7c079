package router

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"

	"savoryfall/core/annotate"
	"savoryfall/core/header"
	"savoryfall/core/settings"
)

// serverTLS is nil when no certificate is set.
func serverTLS(certificate, key string) (cfg *tls.Config, err error) {
	if certificate == "" {
		return nil, nil
	}
	defer annotate.Error(&err, "read certificate %s", certificate)
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// mutualTLS lets only peers in, and calls only peers, that the authority has signed.
func mutualTLS(certificate, key, authority string) (cfg *tls.Config, err error) {
	cfg, err = serverTLS(certificate, key)
	if err != nil {
		return nil, err
	}
	pool, err := readAuthority(authority)
	if err != nil {
		return nil, err
	}
	cfg.ClientCAs, cfg.RootCAs = pool, pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// clientTLS is nil, which means the system's authorities, when none is set.
func clientTLS(authority string) (cfg *tls.Config, err error) {
	if authority == "" {
		return nil, nil
	}
	pool, err := readAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func readAuthority(file string) (pool *x509.CertPool, err error) {
	defer annotate.Error(&err, "read authority %s", file)
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate in the file")
	}
	return pool, nil
}

func readSecret(file string) (secret []byte, err error) {
	if file == "" {
		return nil, nil
	}
	defer annotate.Error(&err, "read secret %s", file)
	secret, err = os.ReadFile(file)
	return bytes.TrimSpace(secret), err
}

// named marks requests to the platform with the VM that sends them.
type named struct {
	vm   string
	next http.RoundTripper
}

func (n named) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(header.VM, n.vm)
	return n.next.RoundTrip(r)
}

// CheckFiles reads every file that the settings name, and returns all that cannot be used.
func CheckFiles(s *settings.Settings) error {
	_, callers := serverTLS(s.Callers().Certificate(), s.Callers().Key())
	_, operators := serverTLS(s.Operators().Certificate(), s.Operators().Key())
	var peers error
	if s.Peers().Certificate() != "" {
		_, peers = mutualTLS(s.Peers().Certificate(), s.Peers().Key(), s.Peers().Authority())
	}
	_, platform := clientTLS(s.Platform().Authority())
	_, tickets := readSecret(s.Routing().TicketKey())
	return errors.Join(
		atKey("callers.certificate", callers), atKey("operators.certificate", operators),
		atKey("peers.certificate", peers), atKey("platform.authority", platform), atKey("routing.ticketKeyFile", tickets),
	)
}

func atKey(key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", key, err)
}
