package detect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms              = time.Millisecond
	step            = 10 * ms
	rtt             = 14 * ms // 4 ms one way and a probe's 6 ms
	limit           = 300 * ms
	requestInterval = 20 * ms // time between requests to one server
)

// behaviour says how one simulated server answers requests and probes.
type behaviour struct {
	requests Result
	probes   Result
	latency  time.Duration // of answered requests; 0 means rtt
}

// sim drives a Detector against simulated servers in virtual time.
type sim struct {
	now        time.Duration
	d          *Detector
	targets    []Target
	behaviours map[string]behaviour
	idle       map[string]bool
	timeout    time.Duration // of requests
	contacts   []simContact
	inFlight   map[Key]int64
	lastReq    map[Key]time.Duration
	probes     int
	lostAt     map[Key]time.Duration
	history    []Change
}

type simContact struct {
	at    time.Duration
	start time.Duration
	key   Key
	probe bool
	res   Result
}

func newSim(servers int) *sim {
	s := &sim{
		now: time.Second, d: NewDetector(), behaviours: map[string]behaviour{}, idle: map[string]bool{}, timeout: 200 * ms,
		inFlight: map[Key]int64{}, lastReq: map[Key]time.Duration{}, lostAt: map[Key]time.Duration{},
	}
	for i := range servers {
		s.targets = append(s.targets, Target{
			Key: Key{Service: "s", Server: fmt.Sprintf("x%d", i)}, Interval: time.Second, Timeout: 250 * ms, FailoverAfter: limit,
		})
	}
	s.d.SetTargets(s.now, s.targets)
	return s
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		s.finish()
		for _, t := range s.targets {
			if !s.idle[t.Server] && s.now >= s.lastReq[t.Key]+requestInterval && s.inFlight[t.Key] < 3 {
				s.lastReq[t.Key] = s.now
				s.begin(t.Key, false)
			}
			s.d.SetOutstanding(s.now, t.Key, s.inFlight[t.Key])
		}
		s.d.Judge(s.now)
		for _, c := range s.d.Changes() {
			s.history = append(s.history, c)
			if c.To.IsLost() && s.lostAt[c.Key] == 0 {
				s.lostAt[c.Key] = s.now
			}
		}
		for _, t := range s.d.NextProbes(s.now, 5) {
			s.probes++
			s.begin(t.Key, true)
		}
	}
}

func (s *sim) begin(k Key, probe bool) {
	b := s.behaviours[k.Server]
	c := simContact{start: s.now, key: k, probe: probe, res: b.requests, at: s.now + rtt}
	if probe {
		c.res = b.probes
	} else {
		s.inFlight[k]++
		if b.latency != 0 {
			c.at = s.now + b.latency
		}
	}
	if c.res == Silent || c.res == Unreachable {
		c.at = s.now + s.timeout
		if probe {
			c.at = s.now + limit
		}
	}
	s.contacts = append(s.contacts, c)
}

func (s *sim) finish() {
	kept := s.contacts[:0]
	for _, c := range s.contacts {
		if c.at > s.now {
			kept = append(kept, c)
			continue
		}
		if !c.probe {
			s.inFlight[c.key]--
		}
		// A server that has frozen since the contact began does not answer it.
		res := c.res
		if b := s.behaviours[c.key.Server]; res == Answered && b.requests == Silent && b.probes == Silent {
			res = Silent
		}
		s.d.Observe(s.now, Observation{Service: c.key.Service, Server: c.key.Server, Result: res, Probe: c.probe, Latency: s.now - c.start})
	}
	s.contacts = kept
}

func (s *sim) lost() int {
	n := 0
	for _, t := range s.targets {
		if s.d.Judgement(t.Key).IsLost() {
			n++
		}
	}
	return n
}

func TestJudgement(t *testing.T) {
	frozen := behaviour{requests: Silent, probes: Silent}
	tests := []struct {
		name   string
		act    behaviour
		slow   time.Duration // timeout of requests; 0 means 200 ms
		idle   bool
		want   Judgement
		within time.Duration // for a loss: at most this long
	}{
		{"healthy", behaviour{}, 0, false, Fine, 0},
		{"healthy and idle", behaviour{}, 0, true, Fine, 0},
		{"frozen under traffic", frozen, 0, false, Lost, limit + 40*ms},
		{"frozen under requests with long timeouts", frozen, 10 * time.Second, false, Lost, limit + 40*ms},
		{"frozen and idle", frozen, 0, true, Lost, time.Second + limit + 100*ms},
		{"unreachable", behaviour{requests: Unreachable, probes: Unreachable}, 0, false, Lost, limit + 40*ms},
		{"process ended", behaviour{requests: Refused, probes: Refused}, 0, false, Gone, limit + 60*ms},
		{"slow requests, probes answered", behaviour{latency: 5 * time.Second}, 10 * time.Second, false, Fine, 0},
		{"probes answered, requests time out", behaviour{requests: Silent}, 0, false, Lost, 3 * 200 * ms},
		{"health silent, requests answered", behaviour{probes: Silent}, 0, false, Fine, 0},
		{"health refused, requests answered", behaviour{probes: Refused}, 0, false, Fine, 0},
		{"requests break, probes answered", behaviour{requests: Broken}, 0, false, Lost, limit + 40*ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(6)
			if test.slow != 0 {
				s.timeout = test.slow
			}
			s.idle["x0"] = test.idle
			s.run(5 * time.Second)
			require.Empty(t, s.lostAt)
			start := s.now
			s.behaviours["x0"] = test.act
			s.run(6 * time.Second)
			if test.want.IsLost() {
				require.Equal(t, test.want, s.d.Judgement(s.targets[0].Key))
				require.LessOrEqual(t, s.lostAt[s.targets[0].Key]-start, test.within)
				require.Equal(t, 1, s.lost())
				return
			}
			require.Empty(t, s.lostAt)
		})
	}
}

func TestManyServersAtOnce(t *testing.T) {
	tests := []struct {
		name          string
		servers, down int
		lost          int
	}{
		{"one failure domain of three", 21, 7, 7},
		{"two of three servers", 3, 2, 2},
		{"everything is silent: this host is cut off", 21, 21, 0},
		{"all but one of twenty-one", 21, 20, 0},
		{"the only server", 1, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(test.servers)
			s.run(3 * time.Second)
			for i := range test.down {
				s.behaviours[s.targets[i].Server] = behaviour{requests: Silent, probes: Silent}
			}
			s.run(2 * time.Second)
			require.Equal(t, test.lost, s.lost())
		})
	}
}

func TestConnectionsThatGoSilentAreNotALoss(t *testing.T) {
	s := newSim(3)
	k := s.targets[0].Key
	s.idle["x0"] = true
	s.run(time.Second)
	for range 3 {
		s.d.Observe(s.now, Observation{Service: "s", Server: "x0", Result: Silent, Latency: 400 * ms})
	}
	s.run(step)
	s.idle["x0"] = false
	s.run(5 * time.Second)
	require.Zero(t, s.lostAt[k])
	require.Equal(t, Fine, s.d.Judgement(k))
}

func TestRestartWithinFailoverAfterIsNotALoss(t *testing.T) {
	s := newSim(3)
	s.run(time.Second)
	s.behaviours["x0"] = behaviour{requests: Refused, probes: Refused}
	s.run(limit - 50*ms)
	s.behaviours["x0"] = behaviour{}
	s.run(2 * time.Second)
	require.Empty(t, s.lostAt)
}

func TestLostServerReturnsAfterAnsweringForLongEnough(t *testing.T) {
	s := newSim(3)
	k := s.targets[0].Key
	loseAndReturn := func(d time.Duration) time.Duration {
		s.behaviours["x0"] = behaviour{requests: Silent, probes: Silent}
		s.run(2 * time.Second)
		require.True(t, s.d.Judgement(k).IsLost())
		s.idle["x0"] = true
		s.behaviours["x0"] = behaviour{}
		start, probes := s.now, s.probes
		for s.d.Judgement(k).IsLost() && s.now < start+d {
			s.run(step)
		}
		require.GreaterOrEqual(t, s.probes-probes, recoverAnswers)
		s.idle["x0"] = false
		return s.now - start
	}
	s.run(time.Second)
	first := loseAndReturn(time.Minute)
	require.GreaterOrEqual(t, first, recoverAfter)
	require.LessOrEqual(t, first, 5*time.Second)
	second := loseAndReturn(time.Minute)
	require.GreaterOrEqual(t, second, 2*recoverAfter)
}

func TestServersWithTrafficAreNotProbed(t *testing.T) {
	s := newSim(6)
	s.run(time.Second)
	s.probes = 0
	s.run(10 * time.Second)
	require.Zero(t, s.probes)
	s.idle["x0"] = true
	s.run(10 * time.Second)
	require.InDelta(t, 10, s.probes, 2)
}

func TestHostListOnlyRaisesDoubt(t *testing.T) {
	s := newSim(3)
	s.d.SetHosts(map[string]bool{"x0": true, "x1": true})
	s.d.SetHosts(map[string]bool{"x1": true})
	s.run(5 * time.Second)
	require.Equal(t, Doubtful, s.d.Judgement(s.targets[0].Key))
	require.Equal(t, Fine, s.d.Judgement(s.targets[2].Key))
	require.Empty(t, s.lostAt)
}

func TestRecoveryNeedsSeveralAnswers(t *testing.T) {
	s := newSim(2)
	k := s.targets[0].Key
	s.run(time.Second)
	s.behaviours["x0"] = behaviour{requests: Silent, probes: Silent}
	s.run(2 * time.Second)
	require.Equal(t, Lost, s.d.Judgement(k))
	for i := 1; i <= recoverAnswers; i++ {
		require.Equal(t, Lost, s.d.Judgement(k), "after %d answers", i-1)
		s.now += 2 * recoverAfter
		s.d.Observe(s.now, Observation{Service: "s", Server: "x0", Probe: true, Latency: rtt})
		s.d.Judge(s.now)
	}
	require.Equal(t, Fine, s.d.Judgement(k))
}

func TestAHostThatWasPausedJudgesNothingLost(t *testing.T) {
	for _, pause := range []time.Duration{200 * ms, time.Second, time.Minute} {
		s := newSim(6)
		s.run(2 * time.Second)
		for _, target := range s.targets[:2] {
			s.behaviours[target.Server] = behaviour{requests: Silent, probes: Silent}
		}
		s.run(limit - 100*ms)
		s.now += pause
		for _, target := range s.targets[:2] {
			s.behaviours[target.Server] = behaviour{}
		}
		s.run(2 * time.Second)
		require.Empty(t, s.lostAt, pause)
	}
}
