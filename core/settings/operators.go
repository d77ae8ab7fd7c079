package settings

import "savoryfall/core/tomldoc"

// Operators says where status, explanations and metrics are served.
type Operators struct {
	address     string
	certificate string
	key         string
}

func readOperators(t *tomldoc.Table) (o Operators) {
	o.address = readAddress(t)
	o.certificate, o.key = readCertificate(t)
	return o
}

// Address is where operators are served; it must not be reachable for callers.
func (o Operators) Address() string { return o.address }

// Certificate is the file of the TLS certificate; empty means no TLS.
func (o Operators) Certificate() string { return o.certificate }

// Key is the file of the certificate's key.
func (o Operators) Key() string { return o.key }
