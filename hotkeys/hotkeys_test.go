package hotkeys

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	zipfS    = 1.1
	zipfKeys = 1_000_000
	hottest  = 340
)

func zipf(seed uint64) *rand.Zipf {
	return rand.NewZipf(rand.New(rand.NewPCG(seed, seed)), zipfS, 1, zipfKeys-1)
}

// newSeededCounter returns a counter whose sampling is deterministic.
func newSeededCounter(seed uint64) *Counter {
	c := NewCounter()
	c.random = rand.New(rand.NewPCG(seed, 99)).Uint32
	return c
}

func TestTheHottestKeysAreFound(t *testing.T) {
	c := newSeededCounter(1)
	z := zipf(1)
	exact := map[uint64]uint64{}
	for range 1_000_000 {
		k := z.Uint64()
		exact[k]++
		c.Record("s", strconv.FormatUint(k, 10))
	}
	top := c.Top("s", hottest)
	require.InEpsilon(t, 1_000_000, top.Total, 0.02)
	found := 0
	for _, k := range top.Keys {
		n, err := strconv.ParseUint(k.Key, 10, 64)
		require.NoError(t, err)
		if n < 50 {
			require.InEpsilon(t, exact[n], k.Requests, 0.25)
		}
		if n < hottest {
			found++
		}
	}
	require.GreaterOrEqual(t, found, hottest*9/10)
	for i := range 5 {
		require.Equal(t, strconv.Itoa(i), top.Keys[i].Key)
	}
}

func TestNewHotKeysShowWithinMinutes(t *testing.T) {
	c := newSeededCounter(2)
	z := zipf(2)
	minute := func(prefix string) {
		for range 3 {
			for range 150_000 {
				c.Record("s", prefix+strconv.FormatUint(z.Uint64(), 10))
			}
			c.Decay()
		}
	}
	for range 5 {
		minute("a")
	}
	minute("b")
	minute("b")
	fresh := 0
	for _, k := range c.Top("s", hottest).Keys {
		if k.Key[0] == 'b' {
			fresh++
		}
	}
	require.GreaterOrEqual(t, fresh, hottest*9/10)
}

func TestMergedSummariesMatchTheWhole(t *testing.T) {
	whole := newSeededCounter(3)
	var hosts []*Counter
	for i := range 9 {
		hosts = append(hosts, newSeededCounter(uint64(10+i)))
	}
	z := zipf(3)
	for i := range 900_000 {
		k := strconv.FormatUint(z.Uint64(), 10)
		whole.Record("s", k)
		hosts[i%9].Record("s", k)
	}
	var parts []Summary
	for _, h := range hosts {
		parts = append(parts, h.Top("s", 2*hottest))
	}
	merged := Merge(parts, hottest)
	require.InEpsilon(t, 900_000, merged.Total, 0.02)
	want := map[string]bool{}
	for _, k := range whole.Top("s", hottest).Keys {
		want[k.Key] = true
	}
	same := 0
	for _, k := range merged.Keys {
		if want[k.Key] {
			same++
		}
	}
	require.GreaterOrEqual(t, same, hottest*85/100)
}

func TestServicesAreBounded(t *testing.T) {
	c := newSeededCounter(5)
	for i := range maxServices + 5 {
		for range 20 * minTrackedCount * sampleInterval {
			c.Record(fmt.Sprintf("s%d", i), "k")
		}
	}
	require.NotEmpty(t, c.Top("s0", 1).Keys)
	require.Empty(t, c.Top(fmt.Sprintf("s%d", maxServices), 1).Keys)
}

func TestRecordIsConcurrent(t *testing.T) {
	c := NewCounter()
	var wait sync.WaitGroup
	for g := range 8 {
		wait.Go(func() {
			z := zipf(uint64(g))
			for range 20_000 {
				c.Record("s", strconv.FormatUint(z.Uint64(), 10))
			}
		})
	}
	for range 5 {
		c.Top("s", 10)
	}
	wait.Wait()
	require.InEpsilon(t, 160_000, c.Top("s", 10).Total, 0.03)
}

func TestDecide(t *testing.T) {
	p := Policy{MaxPins: 3, PinShare: 0.1, UnpinShare: 0.04, MinPinTime: time.Minute, MaxChanges: 2}
	summary := func(total uint64, counts ...Count) Summary { return Summary{Total: total, Keys: counts} }
	tests := []struct {
		name       string
		s          Summary
		pinned     map[string]time.Duration
		pin, unpin []string
	}{
		{"too few requests", summary(999, Count{"a", 900}), nil, nil, nil},
		{"hot", summary(1000, Count{"a", 300}, Count{"b", 99}), nil, []string{"a"}, nil},
		{"pinned already", summary(1000, Count{"a", 300}), map[string]time.Duration{"a": 0}, nil, nil},
		{"between both bounds nothing changes", summary(1000, Count{"a", 50}, Count{"b", 50}), map[string]time.Duration{"a": time.Hour}, nil, nil},
		{"cool", summary(1000, Count{"a", 39}), map[string]time.Duration{"a": time.Minute}, nil, []string{"a"}},
		{"cool but pinned lately", summary(1000, Count{"a", 39}), map[string]time.Duration{"a": time.Minute - 1}, nil, nil},
		{"not seen at all", summary(1000), map[string]time.Duration{"a": time.Hour}, nil, []string{"a"}},
		{"changes are bounded", summary(1000, Count{"a", 300}, Count{"b", 200}, Count{"c", 150}), nil, []string{"a", "b"}, nil},
		{
			"pins are bounded", summary(1000, Count{"a", 300}, Count{"b", 200}, Count{"c", 150}, Count{"d", 140}),
			map[string]time.Duration{"a": 0, "b": 0, "c": 0},
			nil, nil,
		},
		{
			"an unpin makes room", summary(1000, Count{"a", 300}, Count{"b", 200}, Count{"d", 140}),
			map[string]time.Duration{"a": 0, "b": 0, "c": time.Hour},
			[]string{"d"},
			[]string{"c"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pin, unpin := Decide(test.s, test.pinned, p)
			require.Equal(t, test.pin, pin)
			require.Equal(t, test.unpin, unpin)
		})
	}
}

// TestPinsConverge feeds counts that fluctuate around the thresholds and checks that
// keys are not pinned and unpinned over and over.
func TestPinsConverge(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	p := PolicyFor(20, 64)
	pinned := map[string]time.Duration{}
	changes := 0
	for round := range 100 {
		s := Summary{Total: 100_000}
		for i := range 40 {
			s.Keys = append(s.Keys, Count{Key: strconv.Itoa(i), Requests: uint64(450 + r.IntN(100))})
		}
		s.keepTop(40)
		pin, unpin := Decide(s, pinned, p)
		for key := range pinned {
			pinned[key] += 20 * time.Second
		}
		for _, key := range unpin {
			delete(pinned, key)
		}
		for _, key := range pin {
			pinned[key] = 0
		}
		if round >= 20 {
			changes += len(pin) + len(unpin)
		}
	}
	require.LessOrEqual(t, changes, 2)
}

func benchKeys() []string {
	z := zipf(9)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = "key-" + strconv.FormatUint(z.Uint64(), 10)
	}
	return keys
}

func BenchmarkRecord(b *testing.B) {
	c, keys := NewCounter(), benchKeys()
	i := 0
	for b.Loop() {
		c.Record("s", keys[i%len(keys)])
		i++
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	c, keys := NewCounter(), benchKeys()
	b.RunParallel(func(pb *testing.PB) {
		i := rand.IntN(len(keys))
		for pb.Next() {
			c.Record("s", keys[i%len(keys)])
			i++
		}
	})
}

func BenchmarkTop(b *testing.B) {
	c := NewCounter()
	for _, k := range benchKeys() {
		c.Record("s", k)
	}
	for b.Loop() {
		c.Top("s", hottest)
	}
}

func BenchmarkDecay(b *testing.B) {
	c := NewCounter()
	for _, k := range benchKeys() {
		c.Record("s", k)
	}
	for b.Loop() {
		c.Decay()
	}
}
