// Package tlogtest is the conformance test for implementations of tlog.Log. The
// tests of each implementation and of each fake call Run.
package tlogtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// longWait bounds waits that end early in a conforming implementation.
const longWait = 10 * time.Second

// Subject is a log under test with functions that inject faults. Each function
// takes effect at once; a nil function skips the cases that need it.
type Subject struct {
	Log tlog.Log
	// SetOutage starts or ends an outage, in which every call is refused.
	SetOutage func(on bool)
	// LoseNextAnswer makes the next append take effect without an answer.
	LoseNextAnswer func()
	// DelayNextAppend makes the next append end without an answer and take effect
	// only when release is called.
	DelayNextAppend func() (release func())
	// DropOldest drops all but the newest n records of a stream.
	DropOldest func(stream string, n int)
}

// Run checks a log for conformance. open returns a new subject with empty streams.
func Run(t *testing.T, open func(t *testing.T) Subject) {
	cases := []struct {
		name  string
		check func(t *testing.T, s Subject)
	}{
		{"offsets start at 1 and rise by 1", checkOffsets},
		{"a read returns the records in order", checkOrder},
		{"streams are apart", checkStreamsApart},
		{"a read without records ends after its wait", checkEmptyRead},
		{"a waiting read returns at an append", checkLongPoll},
		{"a read ends with its context", checkReadCanceled},
		{"concurrent appends each get an offset of their own", checkConcurrentAppends},
		{"any bytes are kept as they are", checkBytes},
		{"an append in an outage is not taken", checkOutage},
		{"an append with a lost answer is in doubt and taken", checkLostAnswer},
		{"a late append is in doubt and may be taken afterwards", checkLateAppend},
		{"a read of dropped records is a gap", checkGap},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t, open(t)) })
	}
}

func mustAppend(t *testing.T, l tlog.Log, stream, data string) tlog.Offset {
	t.Helper()
	offset, err := l.Append(t.Context(), stream, []byte(data))
	require.NoError(t, err)
	return offset
}

func mustRead(t *testing.T, l tlog.Log, stream string, from tlog.Offset) tlog.Batch {
	t.Helper()
	batch, err := l.Read(t.Context(), stream, from, 0)
	require.NoError(t, err)
	return batch
}

func checkOffsets(t *testing.T, s Subject) {
	for want := tlog.Offset(1); want <= 5; want++ {
		require.Equal(t, want, mustAppend(t, s.Log, "a", "x"))
	}
	batch := mustRead(t, s.Log, "a", 1)
	require.Equal(t, tlog.Offset(1), batch.First)
	require.Equal(t, tlog.Offset(6), batch.Next)
}

func checkOrder(t *testing.T, s Subject) {
	for i := range 5 {
		mustAppend(t, s.Log, "a", fmt.Sprint(i))
	}
	batch := mustRead(t, s.Log, "a", 3)
	require.Len(t, batch.Records, 3)
	for i, r := range batch.Records {
		require.Equal(t, tlog.Offset(3+i), r.Offset)
		require.Equal(t, fmt.Sprint(2+i), string(r.Data))
		require.False(t, r.Time.IsZero())
	}
}

func checkStreamsApart(t *testing.T, s Subject) {
	mustAppend(t, s.Log, "a", "x")
	require.Equal(t, tlog.Offset(1), mustAppend(t, s.Log, "b", "y"))
	require.Equal(t, "y", string(mustRead(t, s.Log, "b", 1).Records[0].Data))
}

func checkEmptyRead(t *testing.T, s Subject) {
	batch, err := s.Log.Read(t.Context(), "a", 1, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, batch.Records)
	require.Equal(t, tlog.Offset(1), batch.Next)
}

func checkLongPoll(t *testing.T, s Subject) {
	read := make(chan tlog.Batch, 1)
	go func() {
		batch, _ := s.Log.Read(t.Context(), "a", 1, longWait)
		read <- batch
	}()
	mustAppend(t, s.Log, "a", "x")
	require.Len(t, (<-read).Records, 1)
}

func checkReadCanceled(t *testing.T, s Subject) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.Log.Read(ctx, "a", 1, longWait)
	}()
	cancel()
	<-done
}

func checkConcurrentAppends(t *testing.T, s Subject) {
	const writers, each = 8, 10
	var wg sync.WaitGroup
	offsets := make(chan tlog.Offset, writers*each)
	for range writers {
		wg.Go(func() {
			for range each {
				offset, err := s.Log.Append(t.Context(), "a", []byte("x"))
				if err == nil {
					offsets <- offset
				}
			}
		})
	}
	wg.Wait()
	close(offsets)
	seen := map[tlog.Offset]bool{}
	for offset := range offsets {
		require.False(t, seen[offset], "offset %d was assigned twice", offset)
		seen[offset] = true
	}
	require.Len(t, seen, writers*each)
}

func checkBytes(t *testing.T, s Subject) {
	for _, data := range []string{"", "\x00\xff\n", `{"a":"b"}`} {
		offset := mustAppend(t, s.Log, "a", data)
		require.Equal(t, data, string(mustRead(t, s.Log, "a", offset).Records[0].Data))
	}
}

func checkOutage(t *testing.T, s Subject) {
	if s.SetOutage == nil {
		t.Skip("the subject has no outages")
	}
	s.SetOutage(true)
	_, err := s.Log.Append(t.Context(), "a", []byte("x"))
	require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
	_, err = s.Log.Read(t.Context(), "a", 1, 0)
	require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
	s.SetOutage(false)
	require.Empty(t, mustRead(t, s.Log, "a", 1).Records)
}

func checkLostAnswer(t *testing.T, s Subject) {
	if s.LoseNextAnswer == nil {
		t.Skip("the subject loses no answers")
	}
	s.LoseNextAnswer()
	_, err := s.Log.Append(t.Context(), "a", []byte("x"))
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	require.Len(t, mustRead(t, s.Log, "a", 1).Records, 1)
}

func checkLateAppend(t *testing.T, s Subject) {
	if s.DelayNextAppend == nil {
		t.Skip("the subject has no late appends")
	}
	release := s.DelayNextAppend()
	_, err := s.Log.Append(t.Context(), "a", []byte("late"))
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	require.Equal(t, tlog.Offset(1), mustAppend(t, s.Log, "a", "marker"))
	release()
	records := mustRead(t, s.Log, "a", 1).Records
	require.Len(t, records, 2)
	require.Equal(t, "late", string(records[1].Data))
}

func checkGap(t *testing.T, s Subject) {
	if s.DropOldest == nil {
		t.Skip("the subject keeps every record")
	}
	for i := range 5 {
		mustAppend(t, s.Log, "a", fmt.Sprint(i))
	}
	s.DropOldest("a", 2)
	batch, err := s.Log.Read(t.Context(), "a", 1, 0)
	require.Equal(t, fault.LogGap, fault.KindOf(err))
	require.Equal(t, tlog.Offset(4), batch.First)
	require.Len(t, mustRead(t, s.Log, "a", batch.First).Records, 2)
}
