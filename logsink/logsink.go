// Package logsink writes log lines without blocking the caller and limits their
// volume.
//
// A bounded queue decouples the program from its output: while the output is blocked
// and the queue is full, lines are dropped and counted. Each message is limited to a
// number of lines per second. Lines beyond it are suppressed and counted, and the
// counts are logged once a second.
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
	// queueCapacity is the maximum number of lines that wait for the output.
	queueCapacity = 2000
	// DefaultLinesPerSecond is the default rate limit of one message.
	DefaultLinesPerSecond = 40
	// summaryInterval is the window of the rate limit, and the minimum interval
	// between summaries of suppressed lines.
	summaryInterval = time.Second
)

// Writer writes lines to an output from its own goroutine.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to out. Call Stop to end it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = out.Write(line) // there is nowhere to report a broken output
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

// Sync implements zapcore.WriteSyncer. It does not wait: lines are written
// asynchronously.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Stop writes the queued lines and ends the writer. Nothing may be logged after it.
func (w *Writer) Stop() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// limiter counts the lines of each message in the current one-second window.
type limiter struct {
	mu          sync.Mutex
	limit       int
	now         func() time.Time
	windowStart time.Time
	count       map[string]int
	suppressed  map[string]int // suppressed lines by message
}

// core is a zapcore.Core that suppresses lines beyond a message's rate limit.
type core struct {
	zapcore.Core
	limiter *limiter
	writer  *Writer
}

// NewCore returns a core over inner that writes at most lines lines of each message
// per second. Summaries of suppressed lines are also written through inner.
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

// allow reports whether a line may be written. Once a second it also returns the
// number of lines suppressed in the previous window, by message.
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
