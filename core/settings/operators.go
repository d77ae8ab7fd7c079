package settings

import "savoryfall/core/tomldoc"

// Operators holds the section operators: the listener for status, explanations and metrics.
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

// Address returns the listen address for operators. It must not be reachable by callers.
func (o Operators) Address() string { return o.address }

// Certificate returns the file of the TLS certificate; empty disables TLS.
func (o Operators) Certificate() string { return o.certificate }

// Key returns the file of the certificate's private key.
func (o Operators) Key() string { return o.key }
