package service

import (
	"strings"

	"savoryfall/core/tomldoc"
)

// Service is one plain service, reached by the prefix of its path.
type Service struct {
	name          string
	path          string
	notRepeatable []string
}

// Read takes a service from its table.
func Read(t *tomldoc.Table) (s Service) {
	s.name = t.Required("name")
	s.path = t.Required("path")
	s.notRepeatable = t.Texts("notRepeatable")
	if s.path != "" && (!strings.HasPrefix(s.path, "/") || strings.HasPrefix(s.path, "/v1/")) {
		t.Fault("path", s.path, "a prefix that begins with / and is not under /v1/")
	}
	for _, call := range s.notRepeatable {
		method, path, ok := strings.Cut(call, " ")
		if !ok || method == "" || !strings.HasPrefix(path, "/") {
			t.Fault("notRepeatable", call, "a method and a path, such as \"POST /permits/issue\"")
		}
	}
	return s
}

// Name is unique among the services.
func (s Service) Name() string { return s.name }

// Path is the prefix of the paths that belong to the service.
func (s Service) Path() string { return s.path }

// Repeatable tells whether a call may be sent again; a listed path covers everything below it.
func (s Service) Repeatable(method, path string) bool {
	for _, call := range s.notRepeatable {
		m, p, _ := strings.Cut(call, " ")
		if m == method && (path == p || strings.HasPrefix(path, strings.TrimSuffix(p, "/")+"/")) {
			return false
		}
	}
	return true
}
