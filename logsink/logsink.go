// Package logsink writes log lines without ever delaying who logs them, and keeps
// their volume bounded.
//
// A bounded queue stands between the program and its output: when the output is
// blocked, lines are dropped and counted. Each message has a budget of lines a
// second; lines beyond it are counted and told in one line a second.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

const (
	// queueCapacity bounds the lines that wait for the output.
	queueCapacity = 2000
	// DefaultLinesPerSecond is the number of lines a second that one message may write.
	DefaultLinesPerSecond = 40
	// summaryInterval is the pause between lines that tell what was left out.
	summaryInterval = time.Second
)

// Writer passes lines to an output from its own goroutine.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to out. Stop ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = out.Write(line) // a broken output has nowhere to be reported
		}
	}()
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written in their own time.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Stop writes what is queued and ends the writer. Nothing may be logged later.
func (w *Writer) Stop() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// limiter counts the lines of each message in the present second.
type limiter struct {
	mu          sync.Mutex
	limit       int
	now         func() time.Time
	windowStart time.Time
	count       map[string]int
	suppressed  map[string]int // lines that were left out
}

// core is a zapcore.Core that leaves out what exceeds a message's budget.
type core struct {
	zapcore.Core
	limiter *limiter
	writer  *Writer
}

// NewCore returns a core over inner with a budget of lines a second for each
// message. Warnings of the limiter itself are written through inner.
func NewCore(inner zapcore.Core, w *Writer, lines int, now func() time.Time) zapcore.Core {
	l := &limiter{limit: lines, now: now, count: map[string]int{}, suppressed: map[string]int{}}
	return &core{Core: inner, limiter: l, writer: w}
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), limiter: c.limiter, writer: c.writer}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	pass, summary := c.limiter.allow(e.Message)
	for message, n := range summary {
		summaryEvent := event.LinesSuppressed{Of: message, Lines: n, Dropped: c.writer.Dropped()}
		s := zapcore.Entry{Level: zapcore.InfoLevel, Time: e.Time, LoggerName: "log", Message: event.Message(summaryEvent)}
		_ = c.Write(s, event.Fields(summaryEvent)) // the writer never fails
	}
	if !pass {
		return ce
	}
	return ce.AddCore(e, c)
}

// allow reports whether a line may be written, and once a second what was left out
// in the one before.
func (l *limiter) allow(message string) (pass bool, summary map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStart) >= summaryInterval {
		l.windowStart = now
		clear(l.count)
		if len(l.suppressed) > 0 {
			summary = l.suppressed
			l.suppressed = map[string]int{}
		}
	}
	l.count[message]++
	if l.count[message] > l.limit {
		l.suppressed[message]++
		return false, summary
	}
	return true, summary
}
