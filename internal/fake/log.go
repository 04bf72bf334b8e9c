// Package fake provides in-memory fakes of the external dependencies of an entry
// host: the platform's log and host list, the network between entry hosts, and
// backend servers. They use only timers and channels, so that they run in virtual
// time under testing/synctest.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// AppendFault is the way in which one append fails.
type AppendFault int

// The ways in which an append can fail.
const (
	AppendRefused AppendFault = iota // the record is not appended, and the caller gets an error that says so
	AnswerLost                       // the record is appended, but the answer is lost
	AppendedLate                     // the answer is lost, and the record is appended after a delay
)

// Log is an in-memory log service with a host list. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	hosts   []tlog.Host
	delay   time.Duration
	lateBy  time.Duration
	outage  bool
	faults  []AppendFault
}

type stream struct {
	first   tlog.Offset
	records []tlog.Record
	changed chan struct{}
}

var (
	_ tlog.Log      = (*Log)(nil)
	_ tlog.HostList = (*Log)(nil)
)

// NewLog returns an empty log with a one-way delay of delay.
func NewLog(delay time.Duration) *Log {
	return &Log{streams: map[string]*stream{}, delay: delay}
}

// SetDelay sets the one-way delay of every later call.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetOutage starts or ends an outage, during which every call fails. Reads that
// are waiting for records fail at its start.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
	for _, st := range l.streams {
		st.notifyReaders()
	}
}

// FailAppends makes the next appends fail, one for each fault. Records of
// AppendedLate are appended after lateBy.
func (l *Log) FailAppends(lateBy time.Duration, faults ...AppendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateBy = lateBy
	l.faults = append(l.faults, faults...)
}

// SetHosts replaces the host list.
func (l *Log) SetHosts(hosts []tlog.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// Expire drops the records of a stream before offset first.
func (l *Log) Expire(name string, first tlog.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	if first > st.first {
		st.records = st.records[first-st.first:]
		st.first = first
	}
}

// Records returns a copy of a stream's records.
func (l *Log) Records(name string) []tlog.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]tlog.Record(nil), l.stream(name).records...)
}

// Put appends a record without delay, regardless of faults and outages.
func (l *Log) Put(name string, data []byte) tlog.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendLocked(name, data)
}

// appendLocked appends a record. The caller must hold l.mu.
func (l *Log) appendLocked(name string, data []byte) tlog.Offset {
	st := l.stream(name)
	offset := st.next()
	st.records = append(st.records, tlog.Record{Offset: offset, Time: time.Now(), Data: data})
	st.notifyReaders()
	return offset
}

func (l *Log) stream(name string) *stream {
	st := l.streams[name]
	if st == nil {
		st = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = st
	}
	return st
}

func (st *stream) next() tlog.Offset {
	return st.first + tlog.Offset(len(st.records))
}

func (st *stream) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Append implements tlog.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (tlog.Offset, error) {
	if err := l.waitOneWay(ctx); err != nil {
		return 0, fault.Wrap(fault.InDoubt, err, "append")
	}
	offset, err := l.appendOrFail(name, data)
	if err != nil {
		return 0, err
	}
	if err := l.waitOneWay(ctx); err != nil {
		return 0, fault.Wrap(fault.InDoubt, err, "append")
	}
	return offset, nil
}

// appendOrFail appends a record, or applies the next append fault.
func (l *Log) appendOrFail(name string, data []byte) (tlog.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, fault.New(fault.LogUnavailable, "outage")
	}
	if len(l.faults) == 0 {
		return l.appendLocked(name, data), nil
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	switch f {
	case AnswerLost:
		l.appendLocked(name, data)
	case AppendedLate:
		time.AfterFunc(l.lateBy, func() { l.Put(name, data) })
	case AppendRefused:
		return 0, fault.New(fault.LogUnavailable, "refused")
	}
	return 0, fault.New(fault.InDoubt, "append answer lost")
}

// Read implements tlog.Log.
func (l *Log) Read(ctx context.Context, name string, from tlog.Offset, wait time.Duration) (tlog.Batch, error) {
	if err := l.waitOneWay(ctx); err != nil {
		return tlog.Batch{}, fault.Wrap(fault.LogUnavailable, err, "read")
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, changed, err := l.batch(name, from)
		if err != nil || len(batch.Records) > 0 {
			return l.sendBatch(ctx, batch, err)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return l.sendBatch(ctx, batch, nil)
		case <-ctx.Done():
			return tlog.Batch{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "read")
		}
	}
}

func (l *Log) sendBatch(ctx context.Context, batch tlog.Batch, err error) (tlog.Batch, error) {
	if delayErr := l.waitOneWay(ctx); delayErr != nil {
		return tlog.Batch{}, fault.Wrap(fault.LogUnavailable, delayErr, "read")
	}
	return batch, err
}

func (l *Log) batch(name string, from tlog.Offset) (tlog.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	if l.outage {
		return tlog.Batch{}, nil, fault.New(fault.LogUnavailable, "outage")
	}
	batch := tlog.Batch{First: st.first, Next: st.next()}
	if from < st.first {
		return batch, nil, fault.Newf(fault.LogGap, "offset %d is older than %d", from, st.first)
	}
	if from < st.next() {
		batch.Records = append(batch.Records, st.records[from-st.first:]...)
	}
	return batch, st.changed, nil
}

// Hosts implements tlog.HostList.
func (l *Log) Hosts(ctx context.Context) ([]tlog.Host, error) {
	if err := l.waitOneWay(ctx); err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "hosts")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, fault.New(fault.LogUnavailable, "outage")
	}
	return append([]tlog.Host(nil), l.hosts...), nil
}

// waitOneWay waits for the one-way delay.
func (l *Log) waitOneWay(ctx context.Context) error {
	l.mu.Lock()
	d := l.delay
	l.mu.Unlock()
	return wait.Sleep(ctx, d)
}
