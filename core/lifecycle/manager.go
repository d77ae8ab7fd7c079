package lifecycle

import (
	"context"
	"errors"
	"fmt"

	"savoryfall/core/annotate"
)

// Service can be started and stopped by a Manager. Stop drains the service until the context ends.
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
func (m *Manager) Register(name string, service any) {
	if m.services == nil {
		m.services = map[string]any{}
	}
	if _, taken := m.services[name]; taken {
		panic("lifecycle: service registered twice: " + name)
	}
	m.order = append(m.order, name)
	m.services[name] = service
}

// Find returns the service with the given name, and panics if there is none. The caller asserts it to an interface of
// its own.
func (m *Manager) Find(name string) any {
	s, ok := m.services[name]
	if !ok {
		panic("lifecycle: no service named " + name)
	}
	return s
}

// Lookup returns the service with the given name, or nil if this process does not have it.
func (m *Manager) Lookup(name string) any { return m.services[name] }

// Start starts the services in the order of registration. If one fails, it stops those already started.
func (m *Manager) Start(ctx context.Context) (err error) {
	for _, name := range m.order {
		s, ok := m.services[name].(Service)
		if !ok {
			continue
		}
		err = s.Start(ctx)
		if err != nil {
			err = fmt.Errorf("start %s: %w", name, err)
			return errors.Join(err, m.Stop(ctx))
		}
		m.started = append(m.started, name)
	}
	return nil
}

// Stop drains the running services in reverse order. All are stopped, and their errors are joined.
func (m *Manager) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop services")
	for i := len(m.started) - 1; i >= 0; i-- {
		s := m.services[m.started[i]].(Service)
		err = errors.Join(err, s.Stop(ctx))
	}
	m.started = nil
	return err
}
