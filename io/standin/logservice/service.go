package logservice

import (
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"savoryfall/core/header"
	"savoryfall/io/platformlog"
	"savoryfall/io/standin/wire"
)

const (
	maxRecord         = 4 << 20
	defaultAppendRate = 400
	defaultRetention  = 24 * time.Hour
)

// Faults are the switches; the zero value has none on. They are read and set at /faults while it runs.
type Faults struct {
	Down        bool     `json:"down"`
	SlowMs      int      `json:"slowMs"`
	SlowReaders []string `json:"slowReaders"`
	LoseAnswers int      `json:"loseAnswers"`
}

// Service keeps streams in memory.
type Service struct {
	mu        sync.Mutex
	streams   map[string]*stream
	faults    Faults
	limit     *rate.Limiter
	retention time.Duration
	appends   int
}

type stream struct {
	first   int64
	records []platformlog.Record
	changed chan struct{}
}

// New makes a service that takes so many appends a second and keeps records so long; zero means the default.
func New(appendsPerSecond float64, retention time.Duration) *Service {
	if appendsPerSecond == 0 {
		appendsPerSecond = defaultAppendRate
	}
	if retention == 0 {
		retention = defaultRetention
	}
	return &Service{
		streams:   map[string]*stream{},
		limit:     rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)),
		retention: retention,
	}
}

// Handler serves the protocol of docs/PLATFORM.md.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/streams/{stream}/records", s.append).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{stream}/records", s.read).Methods(http.MethodGet)
	m.HandleFunc("/v1/streams/{stream}/trim", s.trim).Methods(http.MethodPost)
	m.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return m
}

// Set replaces the switches.
func (s *Service) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends is how many records were taken.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !wire.Read(w, r, &f) {
		return
	}
	s.Set(f)
}

// admit applies the switches that hit every call, and tells whether the call goes on.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if len(f.SlowReaders) > 0 && !slices.Contains(f.SlowReaders, r.Header.Get(header.VM)) {
		return true
	}
	select {
	case <-time.After(time.Duration(f.SlowMs) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !s.limit.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset, lose := s.add(mux.Vars(r)["stream"], data)
	if lose {
		panic(http.ErrAbortHandler)
	}
	wire.Write(w, map[string]int64{"offset": offset})
}

func (s *Service) add(name string, data []byte) (offset int64, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset = st.first + int64(len(st.records))
	st.records = append(st.records, platformlog.Record{Offset: offset, Time: time.Now(), Data: data})
	close(st.changed)
	st.changed = make(chan struct{})
	s.appends++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return offset, true
	}
	return offset, false
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	st.expire(time.Now().Add(-s.retention))
	return st
}

func (st *stream) expire(before time.Time) {
	n := 0
	for n < len(st.records) && st.records[n].Time.Before(before) {
		n++
	}
	st.drop(n)
}

func (st *stream) drop(n int) {
	st.records = st.records[n:]
	st.first += int64(n)
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err := strconv.Atoi(r.FormValue("max"))
	if err != nil || limit <= 0 {
		limit = 1000
	}
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		page, changed := s.page(mux.Vars(r)["stream"], from, limit)
		if len(page.Records) > 0 || waitMs == 0 || from < page.First {
			wire.Write(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) page(name string, from int64, limit int) (p platformlog.Page, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	p = platformlog.Page{First: st.first, Next: st.first + int64(len(st.records))}
	at := from - st.first
	if at >= 0 && at < int64(len(st.records)) {
		end := min(at+int64(limit), int64(len(st.records)))
		p.Records = st.records[at:end:end]
	}
	return p, st.changed
}

// trim forgets the records before an offset, as an early end of the retention would.
func (s *Service) trim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.FormValue("before"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Trim(mux.Vars(r)["stream"], before)
}

// Trim forgets the records of the stream before the offset.
func (s *Service) Trim(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.drop(int(min(max(before-st.first, 0), int64(len(st.records)))))
}

// Append adds a record from within the process, past all switches.
func (s *Service) Append(name string, data []byte) (offset int64) {
	offset, _ = s.add(name, data)
	return offset
}

// Records are the data of the records that a stream keeps, read past all switches.
func (s *Service) Records(name string) (records [][]byte) {
	page, _ := s.page(name, s.first(name), math.MaxInt32)
	for _, r := range page.Records {
		records = append(records, r.Data)
	}
	return records
}

func (s *Service) first(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).first
}
