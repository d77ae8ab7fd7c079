package vmservice

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"savoryfall/io/standin/httpjson"
	"savoryfall/io/vmlist"
)

// Faults are the faults to inject: readers get an error if Down is set, and otherwise the list as it was LagMs ago.
type Faults struct {
	Down  bool `json:"down"`
	LagMs int  `json:"lagMs"`
}

// Service keeps the list and its history, so that readers can be given an older version.
type Service struct {
	mu      sync.Mutex
	history []listVersion
	faults  Faults
	version int
}

type listVersion struct {
	since   time.Time
	version int
	vms     map[string]vmlist.VM
}

// Handler serves the VM list protocol of docs/PLATFORM.md, PUT and DELETE of a VM to change the list, and PUT /faults.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/vms", s.handleList).Methods(http.MethodGet)
	m.HandleFunc("/v1/vms/{name}", s.handlePut).Methods(http.MethodPut)
	m.HandleFunc("/v1/vms/{name}", s.handleRemove).Methods(http.MethodDelete)
	m.HandleFunc("/faults", s.handleSetFaults).Methods(http.MethodPut)
	return m
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put adds or replaces a VM.
func (s *Service) Put(vm vmlist.VM) {
	s.update(func(vms map[string]vmlist.VM) { vms[vm.Name] = vm })
}

// Remove removes a VM from the list.
func (s *Service) Remove(name string) {
	s.update(func(vms map[string]vmlist.VM) { delete(vms, name) })
}

func (s *Service) update(edit func(map[string]vmlist.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := map[string]vmlist.VM{}
	if n := len(s.history); n > 0 {
		vms = maps.Clone(s.history[n-1].vms)
	}
	edit(vms)
	s.version++
	s.history = append(s.history, listVersion{since: time.Now(), version: s.version, vms: vms})
	s.trimHistory()
}

const maxHistory = 256

func (s *Service) trimHistory() {
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory:]
	}
}

func (s *Service) visibleVersion() (v listVersion, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-time.Duration(s.faults.LagMs) * time.Millisecond)
	for _, p := range s.history {
		if p.since.After(at) {
			break
		}
		v = p
	}
	return v, s.faults
}

func (s *Service) handleList(w http.ResponseWriter, r *http.Request) {
	v, f := s.visibleVersion()
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprint(v.version))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	vms := make([]vmlist.VM, 0, len(v.vms))
	for _, name := range slices.Sorted(maps.Keys(v.vms)) {
		vms = append(vms, v.vms[name])
	}
	httpjson.WriteJSON(w, vms)
}

func (s *Service) handlePut(w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if !httpjson.ReadJSON(w, r, &vm) {
		return
	}
	vm.Name = mux.Vars(r)["name"]
	s.Put(vm)
}

func (s *Service) handleRemove(_ http.ResponseWriter, r *http.Request) {
	s.Remove(mux.Vars(r)["name"])
}

func (s *Service) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.ReadJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
}
