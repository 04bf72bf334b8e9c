package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func newLogger(w *Writer, lines int) *zap.Logger {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(NewCore(zapcore.NewCore(enc, w, zapcore.InfoLevel), w, lines, time.Now))
}

// Guards against logging that blocks its caller: while the output is blocked, lines
// beyond the queue are dropped and counted.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		w := NewWriter(out)
		log := newLogger(w, queueCapacity*2)
		start := time.Now()
		for range queueCapacity + 100 {
			log.Info("x")
		}
		require.Zero(t, time.Since(start))
		require.Positive(t, w.Dropped())
		close(out.open)
		w.Stop()
		require.GreaterOrEqual(t, strings.Count(out.text.String(), "\n"), queueCapacity)
	})
}

// A message logged in a tight loop stays within its rate limit, its suppressed lines
// are reported, and other messages are not affected.
func TestFloodStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		close(out.open)
		w := NewWriter(out)
		log := newLogger(w, 10).With(zap.String("host", "h"))
		for range 500 {
			log.Info("flood", zap.String("request", "r"))
			time.Sleep(10 * time.Millisecond)
		}
		log.Warn("other")
		log.Debug("not written at this level")
		w.Stop()
		text := out.text.String()
		require.Equal(t, 50, strings.Count(text, `"msg":"flood"`))
		require.Equal(t, 1, strings.Count(text, `"msg":"other"`))
		require.Contains(t, text, `"of":"flood","lines":90`)
		require.NotContains(t, text, "not written")
	})
}
