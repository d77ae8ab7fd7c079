package lifecycle

import (
	"context"
	"errors"
	"fmt"

	"savoryfall/core/annotate"
)

// Service can be started and stopped by the kernel. Stop drains the service until the context ends.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Manager holds the services of one process by name. The zero value is empty.
type Manager struct {
	order    []string
	services map[string]any
	started  []string
}

// Register adds a service. It panics if the name is taken.
func (k *Manager) Register(name string, service any) {
	if k.services == nil {
		k.services = map[string]any{}
	}
	if _, taken := k.services[name]; taken {
		panic("kernel: service registered twice: " + name)
	}
	k.order = append(k.order, name)
	k.services[name] = service
}

// Find returns the service with the given name, and panics if there is none. The caller asserts it to an interface of
// its own.
func (k *Manager) Find(name string) any {
	s, ok := k.services[name]
	if !ok {
		panic("kernel: no service named " + name)
	}
	return s
}

// Lookup returns the service with the given name, or nil if this process does not have it.
func (k *Manager) Lookup(name string) any { return k.services[name] }

// Start starts the services in the order of registration. If one fails, it stops those already started.
func (k *Manager) Start(ctx context.Context) (err error) {
	for _, name := range k.order {
		s, ok := k.services[name].(Service)
		if !ok {
			continue
		}
		err = s.Start(ctx)
		if err != nil {
			err = fmt.Errorf("start %s: %w", name, err)
			return errors.Join(err, k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

// Stop drains the running services in reverse order. All are stopped, and their errors are joined.
func (k *Manager) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop services")
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.services[k.started[i]].(Service)
		err = errors.Join(err, s.Stop(ctx))
	}
	k.started = nil
	return err
}
