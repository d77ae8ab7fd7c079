package vmservice

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"savoryfall/io/standin/wire"
	"savoryfall/io/vmlist"
)

// Faults are the switches; readers see the list as it was LagMs ago.
type Faults struct {
	Down  bool `json:"down"`
	LagMs int  `json:"lagMs"`
}

// Service keeps the list and its past, so that it can lag.
type Service struct {
	mu      sync.Mutex
	past    []state
	faults  Faults
	version int
}

type state struct {
	since   time.Time
	version int
	vms     map[string]vmlist.VM
}

// Handler serves the protocol of docs/PLATFORM.md, and PUT and DELETE for whoever plays the platform.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/vms", s.list).Methods(http.MethodGet)
	m.HandleFunc("/v1/vms/{name}", s.put).Methods(http.MethodPut)
	m.HandleFunc("/v1/vms/{name}", s.remove).Methods(http.MethodDelete)
	m.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return m
}

// Set replaces the switches.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put adds or replaces a VM.
func (s *Service) Put(vm vmlist.VM) {
	s.change(func(vms map[string]vmlist.VM) { vms[vm.Name] = vm })
}

// Remove takes a VM off the list.
func (s *Service) Remove(name string) {
	s.change(func(vms map[string]vmlist.VM) { delete(vms, name) })
}

func (s *Service) change(edit func(map[string]vmlist.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := map[string]vmlist.VM{}
	if n := len(s.past); n > 0 {
		vms = maps.Clone(s.past[n-1].vms)
	}
	edit(vms)
	s.version++
	s.past = append(s.past, state{since: time.Now(), version: s.version, vms: vms})
	s.forget()
}

const rememberedStates = 256

func (s *Service) forget() {
	if len(s.past) > rememberedStates {
		s.past = s.past[len(s.past)-rememberedStates:]
	}
}

func (s *Service) seen() (st state, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-time.Duration(s.faults.LagMs) * time.Millisecond)
	for _, p := range s.past {
		if p.since.After(at) {
			break
		}
		st = p
	}
	return st, s.faults
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	st, f := s.seen()
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprint(st.version))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	vms := make([]vmlist.VM, 0, len(st.vms))
	for _, name := range slices.Sorted(maps.Keys(st.vms)) {
		vms = append(vms, st.vms[name])
	}
	wire.Write(w, vms)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if !wire.Read(w, r, &vm) {
		return
	}
	vm.Name = mux.Vars(r)["name"]
	s.Put(vm)
}

func (s *Service) remove(_ http.ResponseWriter, r *http.Request) {
	s.Remove(mux.Vars(r)["name"])
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !wire.Read(w, r, &f) {
		return
	}
	s.Set(f)
}
