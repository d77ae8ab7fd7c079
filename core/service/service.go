package service

import (
	"strings"

	"savoryfall/core/tomldoc"
)

// Service is one plain service, identified by its path prefix.
type Service struct {
	name          string
	path          string
	notRepeatable []string
}

// Read reads a service from its TOML table and reports invalid values to the table.
func Read(t *tomldoc.Table) (s Service) {
	s.name = t.RequiredString("name")
	s.path = t.RequiredString("path")
	s.notRepeatable = t.Strings("notRepeatable")
	if s.path != "" && (!strings.HasPrefix(s.path, "/") || strings.HasPrefix(s.path, "/v1/")) {
		t.AddError("path", s.path, "a prefix that begins with / and is not under /v1/")
	}
	for _, call := range s.notRepeatable {
		method, path, ok := strings.Cut(call, " ")
		if !ok || method == "" || !strings.HasPrefix(path, "/") {
			t.AddError("notRepeatable", call, "a method and a path, such as \"POST /permits/issue\"")
		}
	}
	return s
}

// Name returns the service's name, which is unique among the services.
func (s Service) Name() string { return s.name }

// Path returns the path prefix of the service's requests.
func (s Service) Path() string { return s.path }

// Repeatable returns whether a call may be sent more than once. A path listed as not repeatable includes all paths
// below it.
func (s Service) Repeatable(method, path string) bool {
	for _, call := range s.notRepeatable {
		listedMethod, listedPath, _ := strings.Cut(call, " ")
		if listedMethod == method && (path == listedPath || strings.HasPrefix(path, strings.TrimSuffix(listedPath, "/")+"/")) {
			return false
		}
	}
	return true
}
