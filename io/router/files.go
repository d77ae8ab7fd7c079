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

// serverTLS returns the TLS configuration of a server, or nil if no certificate is set.
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

// mutualTLS returns a TLS configuration that accepts and connects to only those peers whose certificate the authority
// signed.
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

// clientTLS returns a TLS configuration that trusts the authority, or nil, for the system's authorities, if none is
// set.
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
		return nil, errors.New("the file contains no certificate")
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

// vmHeaderTransport adds a header with the name of this VM to requests to the platform.
type vmHeaderTransport struct {
	vm   string
	next http.RoundTripper
}

func (n vmHeaderTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(header.VM, n.vm)
	return n.next.RoundTrip(r)
}

// CheckFiles reads every file that the settings refer to, and returns the errors of all that can't be used.
func CheckFiles(s *settings.Settings) error {
	_, callersErr := serverTLS(s.Callers().Certificate(), s.Callers().Key())
	_, operatorsErr := serverTLS(s.Operators().Certificate(), s.Operators().Key())
	var peersErr error
	if s.Peers().Certificate() != "" {
		_, peersErr = mutualTLS(s.Peers().Certificate(), s.Peers().Key(), s.Peers().Authority())
	}
	_, platformErr := clientTLS(s.Platform().Authority())
	_, ticketErr := readSecret(s.Routing().TicketKeyFile())
	return errors.Join(
		withKey("callers.certificate", callersErr), withKey("operators.certificate", operatorsErr),
		withKey("peers.certificate", peersErr), withKey("platform.authority", platformErr), withKey("routing.ticketKeyFile", ticketErr),
	)
}

func withKey(key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", key, err)
}
