package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"savoryfall/core/activeconfig"
	"savoryfall/core/decision"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/io/traffic"
)

// Configuration provides the active configuration, and when and from where it was applied.
type Configuration interface {
	Current() *activeconfig.Configuration
	Ready() bool
	AppliedAt() (at time.Time, source string)
}

// Dependencies are the sources of the data that the API serves.
type Dependencies struct {
	VM            string
	FailureDomain string
	Configuration Configuration
	Members       *membership.Table
	Ledger        *ledger.Ledger
	Health        *health.Table
	Decisions     *decision.Log
	Meter         *traffic.Meter
	Metrics       *metrics.Set
	Waiting       func() int
	Claims        func() int
	Draining      func() bool
}

// API handles operators' requests.
type API struct {
	Dependencies
}

// New returns an API with the given dependencies.
func New(d Dependencies) *API { return &API{Dependencies: d} }

// Handler returns the handler of all routes of the API.
func (a *API) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/status", a.status).Methods(http.MethodGet)
	m.HandleFunc("/explain/{request}", a.explain).Methods(http.MethodGet)
	m.HandleFunc("/release", a.release).Methods(http.MethodGet)
	m.HandleFunc("/notes/{note}", a.releaseNote).Methods(http.MethodGet)
	m.HandleFunc("/metrics", a.metrics).Methods(http.MethodGet)
	return m
}

// Status is the state of one router, as it knows it.
type Status struct {
	VM            string            `json:"vm"`
	FailureDomain string            `json:"failureDomain"`
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining"`
	Release       Release           `json:"release"`
	Members       []membership.Peer `json:"members"`
	Endpoints     []Endpoint        `json:"endpoints"`
	Waiting       int               `json:"waiting"`
	Claims        int               `json:"claims"`
	ControlBytes  map[string]uint64 `json:"controlBytes"`
}

// Release identifies the active configuration of one router.
type Release struct {
	Next      int64     `json:"next"`
	Note      string    `json:"note"`
	Digest    string    `json:"digest"`
	AppliedAt time.Time `json:"appliedAt"`
	Source    string    `json:"source"`
}

// Endpoint is the state of an endpoint, as one router knows it.
type Endpoint struct {
	ledger.EndpointState
	Health      health.State `json:"health"`
	Incarnation string       `json:"incarnation"`
	Address     string       `json:"address"`
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, a.Status())
}

// Status returns the current state of this router.
func (a *API) Status() (s Status) {
	s = Status{
		VM: a.VM, FailureDomain: a.FailureDomain, Ready: a.Configuration.Ready(), Draining: a.Draining(),
		Release: a.activeRelease(), Members: a.Members.Peers(), Waiting: a.Waiting(), Claims: a.Claims(),
		ControlBytes: map[string]uint64{},
	}
	for _, k := range traffic.AllKinds {
		sent, received := a.Meter.Bytes(k)
		s.ControlBytes[string(k)] = sent + received
	}
	c := a.Configuration.Current()
	now := time.Now()
	for _, l := range a.Ledger.States() {
		e, _ := c.Endpoint(l.Endpoint)
		s.Endpoints = append(s.Endpoints, Endpoint{
			EndpointState: l, Health: a.Health.State(l.Endpoint, now), Incarnation: a.Health.Incarnation(l.Endpoint),
			Address: e.Address(),
		})
	}
	return s
}

func (a *API) activeRelease() (r Release) {
	c := a.Configuration.Current()
	r = Release{Next: c.NextOffset(), Note: c.CurrentNoteID(), Digest: c.Digest()}
	r.AppliedAt, r.Source = a.Configuration.AppliedAt()
	return r
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	d, ok := a.Decisions.Find(mux.Vars(r)["request"])
	if !ok {
		http.Error(w, "this router has no decision for this request", http.StatusNotFound)
		return
	}
	writeJSON(w, d)
}

func (a *API) release(w http.ResponseWriter, _ *http.Request) {
	data, err := a.Configuration.Current().Snapshot()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// NoteStatus reports whether a published release note is known, and why it was refused if it was.
type NoteStatus struct {
	Known   bool   `json:"known"`
	Refusal string `json:"refusal,omitempty"`
}

func (a *API) releaseNote(w http.ResponseWriter, r *http.Request) {
	refusal, known := a.Configuration.Current().Refusal(mux.Vars(r)["note"])
	writeJSON(w, NoteStatus{Known: known, Refusal: refusal})
}

func (a *API) metrics(w http.ResponseWriter, _ *http.Request) {
	a.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
