// Package logsvc is a stand-in for the platform's log service and host list. It
// keeps records for a limited time, accepts a limited number of appends a second
// and injects the platform's failures on demand; see Faults.
package logsvc

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	maxRecordBytes = 8 << 20
	// maxBatchRecords bounds the records in one read answer.
	maxBatchRecords = 4096
)

// Config holds a service's limits and clock. The zero value keeps every record
// and accepts every append.
type Config struct {
	Retention        time.Duration // age at which a record is dropped; 0 means never
	MaxRecords       int           // records kept per stream; 0 means all
	AppendsPerSecond int           // limit over all streams; 0 means none
	Now              func() time.Time
}

// stream is one append-only stream.
type stream struct {
	first    tlog.Offset
	records  []tlog.WireRecord
	appended chan struct{} // closed and replaced at each append
}

func (st *stream) next() tlog.Offset {
	return st.first + tlog.Offset(len(st.records))
}

// hostListVersion is the host list from one moment on.
type hostListVersion struct {
	from  time.Time
	hosts []tlog.Host
}

// Service holds the streams and the host list. It is safe for concurrent use.
type Service struct {
	cfg     Config
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	hosts   []hostListVersion // oldest first
	faults  Faults
	late    []lateAppend
	closed  context.Context
	cancel  context.CancelFunc
}

// New returns an empty service without limits.
func New() *Service { return NewWithConfig(Config{}) }

// NewWithConfig returns an empty service.
func NewWithConfig(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	closed, cancel := context.WithCancel(context.Background())
	return &Service{
		cfg:     cfg,
		limiter: rate.NewLimiter(limit, cfg.AppendsPerSecond),
		streams: map[string]*stream{},
		closed:  closed,
		cancel:  cancel,
	}
}

// Close ends long polls and drops late appends that have not taken effect.
func (s *Service) Close() { s.cancel() }

// SetHosts replaces the host list. Readers see it after the list's lag.
func (s *Service) SetHosts(hosts []tlog.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostListVersion{from: s.cfg.Now(), hosts: hosts})
}

// visibleHosts returns the host list as readers see it, which is as old as its lag.
func (s *Service) visibleHosts() []tlog.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.cfg.Now().Add(-s.faults.hostListLag())
	visible := []tlog.Host{}
	for _, h := range s.hosts {
		if !h.from.After(asOf) {
			visible = h.hosts
		}
	}
	return visible
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// Append adds a record, regardless of the limits and faults, and returns its
// offset.
func (s *Service) Append(name string, data []byte) tlog.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendLocked(name, data)
}

func (s *Service) appendLocked(name string, data []byte) tlog.Offset {
	st := s.stream(name)
	offset := st.next()
	st.records = append(st.records, tlog.WireRecord{Offset: offset, Time: s.cfg.Now(), Data: data})
	s.trim(st)
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// trim drops the records beyond the limits on age and number.
func (s *Service) trim(st *stream) {
	drop := 0
	if s.cfg.MaxRecords > 0 {
		drop = max(0, len(st.records)-s.cfg.MaxRecords)
	}
	if s.cfg.Retention > 0 {
		oldest := s.cfg.Now().Add(-s.cfg.Retention)
		for drop < len(st.records) && st.records[drop].Time.Before(oldest) {
			drop++
		}
	}
	st.first += tlog.Offset(drop)
	st.records = st.records[drop:]
}

// read returns the records from an offset on. If there is none, it waits for one
// up to wait.
func (s *Service) read(ctx context.Context, name string, from tlog.Offset, wait time.Duration) tlog.WireBatch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended := s.batch(name, from)
		if len(batch.Records) > 0 || from < batch.First {
			return batch
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		case <-s.closed.Done():
			return batch
		}
	}
}

func (s *Service) batch(name string, from tlog.Offset) (tlog.WireBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.trim(st)
	batch := tlog.WireBatch{First: st.first, Next: st.next()}
	if from >= st.first && from < st.next() {
		kept := st.records[from-st.first:]
		batch.Records = append(batch.Records, kept[:min(len(kept), maxBatchRecords)]...)
	}
	return batch, st.appended
}
