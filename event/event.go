// Package event defines the closed set of log lines of an entry host: one type for
// each decision about a request and for each change of the host's view of the
// cluster. A log line is written from its event type and can be parsed back into it.
package event

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Event is one log line. Its struct fields, under the names of their json tags, are
// the fields of the line.
type Event interface {
	// Text describes in one sentence what happened.
	Text() string
}

// kind describes one type of event.
type kind struct {
	message string // the line's message, prefixed with its component
	level   zapcore.Level
	event   reflect.Type
	layout  []field
}

func row[E Event](level zapcore.Level, message string) kind {
	t := reflect.TypeFor[E]()
	return kind{message: message, level: level, event: t, layout: layoutOf(t)}
}

const (
	infoLevel  = zapcore.InfoLevel
	warnLevel  = zapcore.WarnLevel
	errorLevel = zapcore.ErrorLevel
)

// kinds lists every event type. The messages are matched by tools that read logs,
// also those of older versions, and must not change.
var kinds = []kind{
	row[HostStarted](infoLevel, "edge: started"),
	row[StopBegun](infoLevel, "edge: planned stop begins"),
	row[RefusalBegun](infoLevel, "edge: new requests are refused"),
	row[IdleClosed](infoLevel, "edge: idle connections are closed"),
	row[RequestsDropped](warnLevel, "edge: requests are given up at the end of the stop"),
	row[ConnectionsLeft](warnLevel, "edge: connections were still open at the end"),
	row[HostStopped](infoLevel, "edge: stopped"),
	row[SettingsReloaded](infoLevel, "edge: settings reloaded"),
	row[SettingsRejected](errorLevel, "edge: settings unusable, keeping the last ones"),
	row[ListenerEnded](warnLevel, "edge: server ended"),

	row[RequestReceived](infoLevel, "gateway: request taken"),
	row[RequestSent](infoLevel, "gateway: request sent"),
	row[SendFailed](infoLevel, "gateway: send failed"),
	row[Retry](infoLevel, "gateway: request is sent again"),
	row[RetryDenied](infoLevel, "gateway: request is not sent again"),
	row[RequestAnswered](infoLevel, "gateway: request answered"),
	row[RequestRefused](infoLevel, "gateway: request not answered"),
	row[CallerLeft](infoLevel, "gateway: caller left"),
	row[AnswerBroken](warnLevel, "gateway: answer broken off"),
	row[RequestCutOff](warnLevel, "gateway: request cut off by the end of the process"),
	row[RetryBudgetExhausted](warnLevel, "gateway: budget of second tries spent"),
	row[StandingBegun](infoLevel, "gateway: backend server leaves or is full"),
	row[StandingEnded](infoLevel, "gateway: backend server no longer leaves or is full"),
	row[HeaderUnreadable](warnLevel, "gateway: unreadable header of a backend server"),

	row[RoleChanged](infoLevel, "cluster: role changed"),
	row[AssignerFollowed](infoLevel, "cluster: assigner followed"),
	row[AssignerSilent](infoLevel, "cluster: assigner silent"),
	row[RelayFailed](infoLevel, "cluster: relay failed"),
	row[RelayedCallFailed](infoLevel, "cluster: relayed call failed"),
	row[RelayRejected](warnLevel, "cluster: relay rejected"),
	row[MessageRejected](warnLevel, "cluster: invalid message from another host"),
	row[PanicContained](errorLevel, "cluster: panic while a message was handled"),
	row[ResignBegun](infoLevel, "cluster: planned stop, another host may become the assigner"),
	row[AssignmentRecorded](infoLevel, "cluster: assignment recorded"),
	row[RecordUnreadable](errorLevel, "cluster: assignment record unreadable"),
	row[RecordUnwritable](errorLevel, "cluster: assignment record not encodable"),
	row[RangeMoved](infoLevel, "cluster: keys moved"),
	row[KeysReleased](infoLevel, "cluster: keys released"),
	row[GrantFailed](warnLevel, "cluster: grant failed"),
	row[MapApplied](infoLevel, "cluster: map taken"),
	row[AdmissionChanged](infoLevel, "cluster: admission changed"),
	row[MapInvalid](warnLevel, "cluster: invalid map from another host"),
	row[ServerFound](infoLevel, "cluster: backend server found"),
	row[ServerRestarted](infoLevel, "cluster: backend server restarted"),
	row[ServerChanged](infoLevel, "cluster: backend server changed"),
	row[ServerGone](infoLevel, "cluster: backend server gone"),
	row[ServerLeaving](infoLevel, "cluster: backend server leaves"),
	row[ServerLeavingEnded](infoLevel, "cluster: backend server no longer leaves"),
	row[ServerFull](infoLevel, "cluster: backend server is full"),
	row[ServerFullEnded](infoLevel, "cluster: backend server is no longer full"),
	row[ServersSuspected](infoLevel, "cluster: backend servers suspected"),
	row[SuspectProbed](infoLevel, "cluster: suspect tried"),
	row[HostCountChanged](infoLevel, "cluster: entry hosts known"),
	row[ConfigInForce](infoLevel, "cluster: configuration in force"),
	row[ConfigUnusable](errorLevel, "cluster: configuration unusable, keeping the last one"),
	row[StoreCallFailed](warnLevel, "cluster: store call failed"),
	row[StoreLost](warnLevel, "cluster: store lost"),
	row[StoreRegained](infoLevel, "cluster: store regained"),
	row[ExpiryDeferred](infoLevel, "cluster: store is back, lapsed entries are kept for a while"),
	row[DirectoryGap](warnLevel, "cluster: history of the backend servers is gone, loading all entries"),

	row[LinesSuppressed](infoLevel, "log: lines left out"),
}

var (
	byType    = map[reflect.Type]kind{}
	byMessage = map[string]kind{}
)

func init() {
	for _, k := range kinds {
		byType[k.event] = k
		byMessage[k.message] = k
	}
}

// field describes how a struct field of an event is logged.
type field struct {
	index     int
	name      string
	omitEmpty bool
}

func layoutOf(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out = append(out, field{index: i, name: name, omitEmpty: options == "omitempty"})
	}
	return out
}

// Message returns the message of e's log line.
func Message(e Event) string { return byType[reflect.TypeOf(e)].message }

// Write logs e, unless the logger filters it out.
func Write(logger *zap.Logger, e Event) {
	k := byType[reflect.TypeOf(e)]
	if ce := logger.Check(k.level, k.message); ce != nil {
		ce.Write(k.zapFields(e)...)
	}
}

// Fields returns the fields of e's log line.
func Fields(e Event) []zap.Field { return byType[reflect.TypeOf(e)].zapFields(e) }

func (k kind) zapFields(e Event) []zap.Field {
	v := reflect.ValueOf(e)
	out := make([]zap.Field, 0, len(k.layout))
	for _, f := range k.layout {
		value := v.Field(f.index)
		if f.omitEmpty && value.IsZero() {
			continue
		}
		out = append(out, zapField(f.name, value))
	}
	return out
}

func zapField(name string, v reflect.Value) zap.Field {
	switch v.Kind() {
	case reflect.String:
		return zap.String(name, v.String())
	case reflect.Bool:
		return zap.Bool(name, v.Bool())
	case reflect.Int, reflect.Int64:
		return zap.Int64(name, v.Int())
	case reflect.Uint16, reflect.Uint64:
		return zap.Uint64(name, v.Uint())
	case reflect.Float64:
		return zap.Float64(name, v.Float())
	}
	return zap.Any(name, v.Interface())
}

// ErrorText returns err's text, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Millis returns d in milliseconds, rounded to a tenth.
func Millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// Line is a parsed log line.
type Line struct {
	Time  time.Time `json:"time"`
	Host  string    `json:"host"`
	Event Event     `json:"event"`
}

// header holds the fields common to all log lines.
type header struct {
	Time    time.Time `json:"ts"`
	Host    string    `json:"host"`
	Message string    `json:"msg"`
}

// Parse parses a log line. Text before the first brace, such as the prefix of a log
// collector, is ignored. For plain text and for unknown messages the error is of kind
// NotFound, otherwise of kind BadMessage.
func Parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fault.New(fault.NotFound, "the log line contains no JSON object")
	}
	text = text[start:]
	var h header
	if err := json.Unmarshal(text, &h); err != nil {
		return Line{}, fault.Wrap(fault.BadMessage, err, "parse a log line")
	}
	k, ok := byMessage[h.Message]
	if !ok {
		return Line{}, fault.Newf(fault.NotFound, "no event has the message %q", h.Message)
	}
	e := reflect.New(k.event)
	if err := json.Unmarshal(text, e.Interface()); err != nil {
		return Line{}, fault.Wrap(fault.BadMessage, err, "parse the fields of "+h.Message)
	}
	return Line{Time: h.Time, Host: h.Host, Event: e.Elem().Interface().(Event)}, nil
}
