package kernel

import (
	"context"
	"errors"
	"fmt"

	"savoryfall/core/annotate"
)

// Service is what the kernel starts and stops; Stop drains until its context ends.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process by name; the zero value is empty.
type Kernel struct {
	names    []string
	services map[string]any
	running  []string
}

// Register adds a service under a name that must be free.
func (k *Kernel) Register(name string, service any) {
	if k.services == nil {
		k.services = map[string]any{}
	}
	if _, taken := k.services[name]; taken {
		panic("kernel: service registered twice: " + name)
	}
	k.names = append(k.names, name)
	k.services[name] = service
}

// Find returns the service of that name, for the caller to assert to the interface it declares.
func (k *Kernel) Find(name string) any {
	s, ok := k.services[name]
	if !ok {
		panic("kernel: no service named " + name)
	}
	return s
}

// Lookup returns the service of that name, or nil when this process does without it.
func (k *Kernel) Lookup(name string) any { return k.services[name] }

// Start starts the services in the order of their registration, and stops the started ones when one fails.
func (k *Kernel) Start(ctx context.Context) (err error) {
	for _, name := range k.names {
		s, ok := k.services[name].(Service)
		if !ok {
			continue
		}
		err = s.Start(ctx)
		if err != nil {
			err = fmt.Errorf("start %s: %w", name, err)
			return errors.Join(err, k.Stop(ctx))
		}
		k.running = append(k.running, name)
	}
	return nil
}

// Stop drains the running services in reverse order; every one is stopped, and all errors are joined.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop services")
	for i := len(k.running) - 1; i >= 0; i-- {
		s := k.services[k.running[i]].(Service)
		err = errors.Join(err, s.Stop(ctx))
	}
	k.running = nil
	return err
}
