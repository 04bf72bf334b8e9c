package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// appendRecord writes a record of the assignment as another program might.
func (s *fakeStore) appendRecord(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, data)
}

func (s *fakeStore) lastRecord() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[len(s.records)-1]
}

// unreadable are records of the assignment that can't be decoded.
var unreadable = map[string]string{
	"cut off":             `{"epoch":9,"change":1,"tables":[{"service":"stock","ran`,
	"empty":               ` `,
	"another type":        `[1,2,3]`,
	"a negative epoch":    `{"epoch":-1}`,
	"a range beyond keys": `{"epoch":9,"change":1,"fences":900000000,"servers":[{"id":"s1","born":1}],"tables":[{"service":"stock","ranges":[[70000,0,1]]}]}`,
	"an unknown server":   `{"epoch":9,"change":1,"fences":900000000,"servers":[],"tables":[{"service":"stock","ranges":[[65535,3,1]]}]}`,
	"a service twice":     `{"epoch":9,"change":1,"fences":900000000,"servers":[{"id":"s1","born":1}],"tables":[{"service":"stock","ranges":[[65535,0,1]]},{"service":"stock","ranges":[[65535,0,2]]}]}`,
}

// Guards against a record that assigns a service twice, which gave a key two owners. An
// unreadable record of the assignment ends no host's process and gives no key two owners:
// no host can tell which grants it stands for, so none makes any. The keys are served again
// once a readable record follows it.
func TestUnreadableRecordEndsNoProcess(t *testing.T) {
	for name, text := range unreadable {
		for _, restart := range []bool{false, true} {
			title := name
			if restart {
				title += ", and the assigner restarts"
			}
			t.Run(title, func(t *testing.T) {
				withDeployment(t, 4, 6, func(w *world) {
					last := w.store.lastRecord()
					w.store.appendRecord([]byte(text))
					w.list(w.server("s3"), directory.Draining) // the assigner has something to record
					if restart {
						w.restart(w.leaders()[0])
					}
					w.watch(settleTime)
					w.requireAlive()
					w.store.appendRecord(last)
					w.watch(4 * settleTime)
					w.requireAlive()
					require.Equal(w.t, sampled, w.heldKeys())
					require.Len(w.t, w.leaders(), 1)
				})
			})
		}
	}
}

// Records that can be decoded but make no sense end no host's process.
func TestStrangeRecordEndsNoProcess(t *testing.T) {
	records := map[string]string{
		"null":              `null`,
		"an empty object":   `{}`,
		"no tables":         `{"epoch":9,"change":1,"fences":900000000}`,
		"no ranges":         `{"epoch":9,"change":1,"fences":900000000,"tables":[{"service":"stock","ranges":[]}]}`,
		"ranges with a gap": `{"epoch":9,"change":1,"fences":900000000,"servers":[{"id":"s1","born":1}],"tables":[{"service":"stock","ranges":[[100,0,1]]}]}`,
		"the highest epoch": `{"epoch":18446744073709551615,"change":1,"fences":18446744073709551615}`,
	}
	for name, text := range records {
		t.Run(name, func(t *testing.T) {
			withDeployment(t, 4, 6, func(w *world) {
				w.store.appendRecord([]byte(text))
				w.list(w.server("s3"), directory.Draining) // the assigner has something to record
				time.Sleep(settleTime)
				w.restart(w.names()[0])
				time.Sleep(settleTime)
				w.requireAlive()
			})
		})
	}
}

// requireAlive requires that every host's control goroutine answers and that none had to
// contain a panic.
func (w *world) requireAlive() {
	w.t.Helper()
	for _, name := range w.names() {
		c := w.host(name)
		_, ok := query(context.Background(), c, func() int { return 1 })
		require.True(w.t, ok, name)
		require.Zero(w.t, c.stats.Panics.Count(), name)
	}
}
