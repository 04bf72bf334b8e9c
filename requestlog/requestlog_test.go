package requestlog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// hostLog is the log of one host, in the format that hosts write.
type hostLog struct {
	out  bytes.Buffer
	host string
}

var logStart = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// at writes an event with a time of ms milliseconds after logStart.
func (l *hostLog) at(ms int, e event.Event) *hostLog {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	clock := fixedClock(logStart.Add(time.Duration(ms) * time.Millisecond))
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(&l.out), zapcore.InfoLevel)
	event.Write(zap.New(core, zap.WithClock(clock)).With(zap.String("host", l.host)), e)
	return l
}

// Open implements Log.
func (l *hostLog) Open() (io.ReadCloser, error) {
	return io.NopCloser(strings.NewReader(l.out.String())), nil
}

// fixedClock is a zapcore.Clock that always returns the same time.
type fixedClock time.Time

func (c fixedClock) Now() time.Time                       { return time.Time(c) }
func (c fixedClock) NewTicker(time.Duration) *time.Ticker { return time.NewTicker(time.Hour) }

func texts(steps []Step) []string {
	out := make([]string, 0, len(steps))
	for _, s := range steps {
		out = append(out, fmt.Sprintf("%s %s", s.Host, s.Message))
	}
	return out
}

// A keyed request that failed because its key moved is explained by the move, which
// only the log of another host contains. Guards against context being taken from the
// entry host's log alone, and from moves of other ranges, services or times.
func TestRequestLostInAMove(t *testing.T) {
	entry := &hostLog{host: "entry-1"}
	entry.at(100, event.SendFailed{Request: "r1", Server: "s1", Kind: fault.StaleToken, Keyed: true, Key: 77, Error: "stale-token: moved"}).
		at(220, event.RetryDenied{Request: "r1", Kind: fault.StaleToken, Reason: event.ReasonNoNewOwner}).
		at(221, event.RequestRefused{Request: "r1", Service: "stock", Keyed: true, Key: 77, Status: 503, Outcome: fault.NotRun, Kind: fault.Moving, Error: "moving"}).
		at(221, event.RequestRefused{Request: "r10", Service: "stock", Status: 503, Kind: fault.Moving})
	leader := &hostLog{host: "entry-2"}
	leader.at(60, event.RangeMoved{Service: "stock", From: 50, To: 90, Before: "s1", Owner: "s2", Fence: 9, Why: "load is uneven", Epoch: 3, Change: 4}).
		at(61, event.RangeMoved{Service: "stock", From: 91, To: 99, Before: "s1", Owner: "s2"}).
		at(62, event.RangeMoved{Service: "orders", From: 50, To: 90, Before: "o1", Owner: "o2"}).
		at(150, event.GrantFailed{Server: "s2", From: 50, To: 90, Result: "no answer"}).
		at(-9000, event.ServerGone{ID: "s1"})

	x, err := Explain("r1", []Log{leader, entry})
	require.NoError(t, err)
	require.Equal(t, []string{"entry-1 gateway: send failed", "entry-1 gateway: request is not sent again", "entry-1 gateway: request not answered"}, texts(x.Steps))
	require.Equal(t, []string{"entry-2 cluster: keys moved", "entry-2 cluster: grant failed"}, texts(x.Context))
	require.Equal(t, []string{
		"The request did not run (status 503).",
		"It was not sent again: its key got no other owner in time.",
		"No owner of the key had accepted its grant within the time that the latency target leaves.",
		"Its key moved from s1 to s2 under token 9, as recorded in 3.4: load is uneven.",
		"s2 did not accept the grant of its key: no answer.",
	}, x.Findings)
}

// The findings for an order with unknown outcome say why it was not sent again and
// include the loss of the server that it was sent to, but not of other servers.
func TestOrderWithoutAnswer(t *testing.T) {
	entry := &hostLog{host: "entry-1"}
	entry.at(0, event.RequestReceived{Request: "r1", Service: "orders"}).
		at(1, event.RequestSent{Request: "r1", Server: "o1"}).
		at(900, event.SendFailed{Request: "r1", Server: "o1", Kind: fault.AnswerCut, MayHaveRun: true}).
		at(901, event.RetryDenied{Request: "r1", Kind: fault.AnswerCut, Reason: event.ReasonMayHaveRun}).
		at(902, event.RequestRefused{Request: "r1", Service: "orders", Status: 502, Outcome: fault.Unknown, Kind: fault.AnswerCut}).
		at(1500, event.ServerGone{ID: "o1"}).
		at(1500, event.ServerGone{ID: "o2"})
	other := &hostLog{host: "entry-2"}
	other.at(-500, event.ServerFull{Server: "o1", From: "entry-3", ForMS: 2000}).
		at(-500, event.ServerFull{Server: "o2", From: "entry-3", ForMS: 2000}).
		at(-100, event.ServerLeaving{Server: "o1", Source: event.FromAnswers}).
		at(-100, event.ServerLeaving{Server: "o2", Source: event.FromAnswers}).
		at(1400, event.ServerFullEnded{Server: "o2"}).
		at(1400, event.ServerLeavingEnded{Server: "o2"})
	x, err := Explain("r1", []Log{entry, other})
	require.NoError(t, err)
	require.Equal(t, []string{
		"entry-2 cluster: backend server is full", "entry-2 cluster: backend server leaves", "entry-1 cluster: backend server gone",
	}, texts(x.Context))
	require.Contains(t, x.Findings, "entry-2 learnt that o1 leaves (source: answers).")
	require.Contains(t, x.Findings, "o1 had told entry-3 that it wanted no requests for 2000 ms.")
	require.Contains(t, x.Findings[0], "not known whether the request ran (status 502)")
	require.Contains(t, x.Findings, "It was not sent again: it may have run and is not idempotent.")
	require.Contains(t, x.Findings, "The connection to the server ended without a complete answer.")
	require.Contains(t, x.Findings, "entry-1 saw o1 leave the list of backend servers.")
}

// The context of a request refused under load includes the spent retry budget and the
// lines left out on its own host, but nothing from hosts that did not handle it.
func TestRequestRefusedUnderLoad(t *testing.T) {
	entry := &hostLog{host: "entry-1"}
	entry.at(10, event.RetryBudgetExhausted{Service: "stock", Tries: 5}).
		at(15, event.LinesSuppressed{Of: "gateway: request not answered", Lines: 90}).
		at(20, event.RequestRefused{Request: "r1", Service: "stock", Status: 503, Outcome: fault.NotRun, Kind: fault.QueueTimeout})
	other := &hostLog{host: "entry-2"}
	other.at(12, event.RetryBudgetExhausted{Service: "stock"}).at(13, event.StoreLost{Call: "read"})
	x, err := Explain("r1", []Log{entry, other})
	require.NoError(t, err)
	require.Equal(t, []string{"entry-1 gateway: budget of second tries spent", "entry-1 log: lines left out"}, texts(x.Context))
	require.Contains(t, x.Findings, causes[fault.QueueTimeout])
	require.Contains(t, x.Findings, `entry-1 left out 90 lines of "gateway: request not answered".`)
}

// A request that was refused without a send because its key's owner had asked for a pause
// long before is explained by that, but not by what other hosts or servers said.
func TestRequestRefusedWhileItsOwnerIsFull(t *testing.T) {
	full := func(server string) event.StandingBegun {
		return event.StandingBegun{Server: server, StartedMS: 1, Standing: "full", Source: "answer", Until: "2026-12-04T10:01:00Z"}
	}
	entry := &hostLog{host: "entry-1"}
	entry.at(-40_000, full("s1")).at(-40_000, full("s2")).
		at(0, event.RequestRefused{Request: "r1", Service: "stock", Server: "s1", Keyed: true, Key: 7, Status: 503, Outcome: fault.NotRun, Kind: fault.NotAccepted})
	other := &hostLog{host: "entry-2"}
	other.at(-10, full("s1"))
	x, err := Explain("r1", []Log{entry, other})
	require.NoError(t, err)
	require.Equal(t, []string{"entry-1 gateway: backend server leaves or is full"}, texts(x.Context))
	require.Contains(t, x.Findings, "To entry-1, s1 is full by its answer and is sent nothing until 2026-12-04T10:01:00Z.")
}

// Every event that ends a request has an outcome sentence, and so has a log without
// such an event.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		last event.Event
		want string
	}{
		{event.RequestAnswered{Request: "r", Server: "s", Status: 200}, "answered by s"},
		{event.RequestAnswered{Request: "r", Server: "s", Status: 500}, "ran at s, which answered that it failed"},
		{event.CallerLeft{Request: "r"}, "caller disconnected"},
		{event.AnswerBroken{Request: "r", Server: "s"}, "broken off"},
		{event.RequestCutOff{Request: "r"}, "process ended without an answer"},
		{event.RequestSent{Request: "r", Server: "s"}, "does not hold the request's end"},
	}
	for _, c := range cases {
		log := &hostLog{host: "h"}
		x, err := Explain("r", []Log{log.at(0, c.last)})
		require.NoError(t, err)
		require.Contains(t, x.Findings[0], c.want)
	}
}

// Every kind of error with which a request can be refused has a cause sentence.
func TestEveryRefusalHasACause(t *testing.T) {
	for _, k := range []fault.Kind{
		fault.NotReady, fault.NoService, fault.NoKey, fault.TooLarge, fault.Moving, fault.NoOwner, fault.QueueTimeout, fault.Overloaded,
		fault.NotAccepted, fault.StaleToken, fault.Refused, fault.DialFailed, fault.AnswerCut, fault.SendFailed, fault.Timeout, fault.AnswerMismatch, fault.NotSent,
	} {
		require.NotEmpty(t, causes[k], k)
	}
}

func TestUnknownRequestAndBrokenLines(t *testing.T) {
	log := &hostLog{host: "h"}
	log.at(0, event.CallerLeft{Request: "r"})
	log.out.WriteString("{\"ts\": \n" + `{"ts":"2026-12-04T10:00:00Z","msg":"of another program"}` + "\n\n")
	_, err := Explain("none", []Log{log})
	require.Equal(t, fault.NotFound, fault.KindOf(err))
	x, err := Explain("r", []Log{log})
	require.NoError(t, err)
	require.Equal(t, 1, x.Unread, "only the truncated line is unread, not the line of another program")
	_, err = Explain("r", []Log{missing{}})
	require.Equal(t, fault.BadSettings, fault.KindOf(err))
}

// missing is a log that cannot be opened.
type missing struct{}

func (missing) Open() (io.ReadCloser, error) { return nil, io.ErrUnexpectedEOF }
