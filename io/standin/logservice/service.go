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
	"savoryfall/io/standin/httpjson"
)

const (
	maxRecordBytes    = 4 << 20
	defaultAppendRate = 400
	defaultRetention  = 24 * time.Hour
)

// Faults are the faults to inject; the zero value injects none. PUT /faults replaces them while the service runs.
// DelayMs delays only the VMs in SlowReaders if there are any, and DropAnswers is the number of appends that are stored
// but whose answers are dropped.
type Faults struct {
	Down        bool     `json:"down"`
	DelayMs     int      `json:"slowMs"`
	SlowReaders []string `json:"slowReaders"`
	DropAnswers int      `json:"loseAnswers"`
}

// Service keeps the streams in memory.
type Service struct {
	mu        sync.Mutex
	streams   map[string]*stream
	faults    Faults
	limiter   *rate.Limiter
	retention time.Duration
	appended  int
}

type stream struct {
	firstOffset int64
	records     []platformlog.Record
	changed     chan struct{}
}

// New returns a service with a limit of appends per second that deletes records older than the retention; zero means
// the default.
func New(appendsPerSecond float64, retention time.Duration) *Service {
	if appendsPerSecond == 0 {
		appendsPerSecond = defaultAppendRate
	}
	if retention == 0 {
		retention = defaultRetention
	}
	return &Service{
		streams:   map[string]*stream{},
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), int(appendsPerSecond)),
		retention: retention,
	}
}

// Handler serves the log protocol of docs/PLATFORM.md, and PUT /faults for tests.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/streams/{stream}/records", s.append).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{stream}/records", s.handleRead).Methods(http.MethodGet)
	m.HandleFunc("/v1/streams/{stream}/trim", s.handleTrim).Methods(http.MethodPost)
	m.HandleFunc("/faults", s.handleSetFaults).Methods(http.MethodPut)
	return m
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends returns how many records have been appended.
func (s *Service) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appended
}

func (s *Service) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.ReadJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
}

// applyFaults applies the faults that affect every call, and returns whether to process the call.
func (s *Service) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !s.limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset, dropAnswer := s.appendRecord(mux.Vars(r)["stream"], data)
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	httpjson.WriteJSON(w, map[string]int64{"offset": offset})
}

func (s *Service) appendRecord(name string, data []byte) (offset int64, dropAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset = st.firstOffset + int64(len(st.records))
	st.records = append(st.records, platformlog.Record{Offset: offset, Time: time.Now(), Data: data})
	close(st.changed)
	st.changed = make(chan struct{})
	s.appended++
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
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
	st.dropBefore(time.Now().Add(-s.retention))
	return st
}

func (st *stream) dropBefore(before time.Time) {
	n := 0
	for n < len(st.records) && st.records[n].Time.Before(before) {
		n++
	}
	st.dropFirst(n)
}

func (st *stream) dropFirst(n int) {
	st.records = st.records[n:]
	st.firstOffset += int64(n)
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
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
			httpjson.WriteJSON(w, page)
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
	p = platformlog.Page{First: st.firstOffset, Next: st.firstOffset + int64(len(st.records))}
	start := from - st.firstOffset
	if start >= 0 && start < int64(len(st.records)) {
		end := min(start+int64(limit), int64(len(st.records)))
		p.Records = st.records[start:end:end]
	}
	return p, st.changed
}

// handleTrim deletes the records before an offset, as if their retention had ended early.
func (s *Service) handleTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.FormValue("before"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Trim(mux.Vars(r)["stream"], before)
}

// Trim deletes the records of the stream before the offset.
func (s *Service) Trim(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.dropFirst(int(min(max(before-st.firstOffset, 0), int64(len(st.records)))))
}

// Append appends a record from within the process, without the rate limit and without delays.
func (s *Service) Append(name string, data []byte) (offset int64) {
	offset, _ = s.appendRecord(name, data)
	return offset
}

// Records returns the data of the records in a stream, unaffected by faults.
func (s *Service) Records(name string) (records [][]byte) {
	page, _ := s.page(name, s.firstOffset(name), math.MaxInt32)
	for _, r := range page.Records {
		records = append(records, r.Data)
	}
	return records
}

func (s *Service) firstOffset(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).firstOffset
}
