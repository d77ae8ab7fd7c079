package settings

import (
	"net"

	"savoryfall/core/tomldoc"
)

// Settings holds the settings of a router process. It is immutable after Parse.
type Settings struct {
	vm        VM
	callers   Callers
	operators Operators
	peers     Peers
	platform  Platform
	routing   Routing
	limits    Limits
	claims    Claims
	orders    Orders
	traces    Traces
}

// Parse parses and validates a settings file. The error is a tomldoc.Errors that lists all errors.
func Parse(file string, data []byte) (s *Settings, err error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	t := doc.Root()
	s = &Settings{}
	s.vm = readVM(t.Table("vm"))
	s.callers = readCallers(t.Table("callers"))
	s.operators = readOperators(t.Table("operators"))
	s.peers = readPeers(t.Table("peers"))
	s.platform = readPlatform(t.Table("platform"))
	s.routing = readRouting(t.Table("routing"))
	s.limits = readLimits(t.Table("limits"))
	s.claims = readClaims(t.Table("claims"))
	s.orders = readOrders(t.Table("orders"))
	s.traces = readTraces(t.Table("traces"))
	s.checkDuplicateAddresses(t)
	return s, doc.Err()
}

// VM returns the section vm.
func (s *Settings) VM() VM { return s.vm }

// Callers returns the section callers.
func (s *Settings) Callers() Callers { return s.callers }

// Operators returns the section operators.
func (s *Settings) Operators() Operators { return s.operators }

// Peers returns the section peers.
func (s *Settings) Peers() Peers { return s.peers }

// Platform returns the section platform.
func (s *Settings) Platform() Platform { return s.platform }

// Routing returns the section routing.
func (s *Settings) Routing() Routing { return s.routing }

// Limits returns the section limits.
func (s *Settings) Limits() Limits { return s.limits }

// Claims returns the section claims.
func (s *Settings) Claims() Claims { return s.claims }

// Orders returns the section orders.
func (s *Settings) Orders() Orders { return s.orders }

// Traces returns the section traces.
func (s *Settings) Traces() Traces { return s.traces }

// checkDuplicateAddresses reports sections with the same listen address. Without it the error would show only when the
// second listener is started.
func (s *Settings) checkDuplicateAddresses(t *tomldoc.Table) {
	seen := map[string]string{}
	for _, listener := range []struct{ section, address string }{
		{"callers", s.callers.address},
		{"operators", s.operators.address},
		{"peers", s.peers.address},
	} {
		_, port, err := net.SplitHostPort(listener.address)
		if err != nil || port == "0" {
			continue
		}
		if first, taken := seen[listener.address]; taken {
			t.Table(listener.section).AddError("address", listener.address, "an address that no other section uses; "+first+" uses it")
		}
		seen[listener.address] = listener.section
	}
}

// readAddress reads the address of a section: an IP address and a port.
func readAddress(t *tomldoc.Table) string {
	const key = "address"
	return validateAddress(t, key, t.RequiredString(key))
}

func validateAddress(t *tomldoc.Table, key, address string) string {
	host, _, err := net.SplitHostPort(address)
	if address != "" && (err != nil || net.ParseIP(host) == nil) {
		t.AddError(key, address, "an IP address and a port, such as 127.0.0.1:8080")
	}
	return address
}

// readCertificate reads the files of a certificate and its key. Either both or neither must be set.
func readCertificate(t *tomldoc.Table) (certificate, key string) {
	certificate, key = t.String("certificate", ""), t.String("key", "")
	if certificate != "" && key == "" {
		t.AddError("key", "nothing", "the private key file of the certificate")
	}
	if certificate == "" && key != "" {
		t.AddError("certificate", "nothing", "the certificate file of the key")
	}
	return certificate, key
}
