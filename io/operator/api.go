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
func New(p Dependencies) *API { return &API{Dependencies: p} }

// Handler returns the handler of all routes of the API.
func (d *API) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/status", d.status).Methods(http.MethodGet)
	m.HandleFunc("/explain/{request}", d.explain).Methods(http.MethodGet)
	m.HandleFunc("/release", d.release).Methods(http.MethodGet)
	m.HandleFunc("/notes/{note}", d.releaseNote).Methods(http.MethodGet)
	m.HandleFunc("/metrics", d.metrics).Methods(http.MethodGet)
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

func (d *API) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.Status())
}

// Status returns the current state of this router.
func (d *API) Status() (s Status) {
	s = Status{
		VM: d.VM, FailureDomain: d.FailureDomain, Ready: d.Configuration.Ready(), Draining: d.Draining(),
		Release: d.activeRelease(), Members: d.Members.Peers(), Waiting: d.Waiting(), Claims: d.Claims(),
		ControlBytes: map[string]uint64{},
	}
	for _, k := range traffic.AllKinds {
		sent, received := d.Meter.Bytes(k)
		s.ControlBytes[string(k)] = sent + received
	}
	c := d.Configuration.Current()
	now := time.Now()
	for _, l := range d.Ledger.States() {
		e, _ := c.Endpoint(l.Endpoint)
		s.Endpoints = append(s.Endpoints, Endpoint{
			EndpointState: l, Health: d.Health.State(l.Endpoint, now), Incarnation: d.Health.Incarnation(l.Endpoint),
			Address: e.Address(),
		})
	}
	return s
}

func (d *API) activeRelease() (r Release) {
	c := d.Configuration.Current()
	r = Release{Next: c.NextOffset(), Note: c.CurrentNoteID(), Digest: c.Digest()}
	r.AppliedAt, r.Source = d.Configuration.AppliedAt()
	return r
}

func (d *API) explain(w http.ResponseWriter, r *http.Request) {
	found, ok := d.Decisions.Find(mux.Vars(r)["request"])
	if !ok {
		http.Error(w, "this router has no decision for this request", http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func (d *API) release(w http.ResponseWriter, _ *http.Request) {
	data, err := d.Configuration.Current().Snapshot()
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

func (d *API) releaseNote(w http.ResponseWriter, r *http.Request) {
	refusal, known := d.Configuration.Current().Refusal(mux.Vars(r)["note"])
	writeJSON(w, NoteStatus{Known: known, Refusal: refusal})
}

func (d *API) metrics(w http.ResponseWriter, _ *http.Request) {
	d.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
