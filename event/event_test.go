package event

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newTestLogger returns a logger that writes to out in the format of an entry host.
func newTestLogger(out *bytes.Buffer) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(out), zapcore.InfoLevel)).With(zap.String("host", "entry-1"))
}

// populatedEvent returns an event of kind k with a non-zero value in every field.
func populatedEvent(k kind) Event {
	v := reflect.New(k.event).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		switch f.Kind() {
		case reflect.String:
			f.SetString(v.Type().Field(i).Name)
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(10 + i))
		case reflect.Uint16, reflect.Uint64:
			f.SetUint(uint64(20 + i))
		case reflect.Float64:
			f.SetFloat(0.5 + float64(i))
		case reflect.Slice:
			f.Set(reflect.ValueOf([]string{"a", "b"}))
		default:
			panic("no value for a field of " + k.event.Name())
		}
	}
	return v.Interface().(Event)
}

// Guards against events that lose fields: each kind is logged and parsed back unchanged.
func TestLinesReadBack(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.event.Name(), func(t *testing.T) {
			var out bytes.Buffer
			e := populatedEvent(k)
			Write(newTestLogger(&out), e)
			require.Contains(t, out.String(), `"msg":"`+k.message+`"`)
			line, err := Parse(out.Bytes())
			require.NoError(t, err)
			require.Equal(t, e, line.Event)
			require.Equal(t, "entry-1", line.Host)
			require.False(t, line.Time.IsZero())
			require.NotEmpty(t, e.Text())
			require.Contains(t, []zapcore.Level{infoLevel, warnLevel, errorLevel}, k.level)
		})
	}
}

// Every event has a unique message with a known component prefix and unique field
// names. Two events with one message could not be told apart when logs are parsed.
func TestEventListIsConsistent(t *testing.T) {
	messages := map[string]bool{}
	for _, k := range kinds {
		require.False(t, messages[k.message], k.message)
		messages[k.message] = true
		prefix, _, _ := strings.Cut(k.message, ": ")
		require.Contains(t, []string{"edge", "gateway", "cluster", "log"}, prefix)
		names := map[string]bool{}
		for _, f := range k.layout {
			require.NotEmpty(t, f.name, k.event.Name())
			require.False(t, names[f.name], k.event.Name()+"."+f.name)
			require.NotContains(t, []string{"ts", "msg", "level", "logger", "host"}, f.name)
			names[f.name] = true
		}
	}
	require.Len(t, byType, len(kinds))
}

// Guards against an event type that is missing from kinds: its lines would have no
// message and could not be parsed.
func TestEventListIsComplete(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, k := range kinds {
		listed[k.event.Name()] = true
	}
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if ok && fn.Recv != nil && fn.Name.Name == "Text" {
				name := fn.Recv.List[0].Type.(*ast.Ident).Name
				require.True(t, listed[name], name)
			}
		}
	}
}

// The components of an entry host log only events: their code does not call the
// logger's own methods.
func TestPartsWriteOnlyEvents(t *testing.T) {
	levels := map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true}
	for _, part := range []string{"edge", "gateway", "cluster", "platform", "hostlink", "upstream", "assigner"} {
		files, err := filepath.Glob(filepath.Join("..", part, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			require.NoError(t, err)
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				sel, ok := call.Fun.(*ast.SelectorExpr)
				if ok && levels[sel.Sel.Name] && len(call.Args) > 0 {
					require.Fail(t, "log call that is not an event", "%s: %s", file, sel.Sel.Name)
				}
				return true
			})
		}
	}
}

func TestLinesThatCannotBeRead(t *testing.T) {
	for _, text := range []string{"", "plain text", `{"ts": 1`, `{"ts":"2026-12-04T10:00:00Z","msg":"gateway: request sent","send":"x"}`} {
		_, err := Parse([]byte(text))
		require.Error(t, err, text)
	}
	_, err := Parse([]byte(`{"ts":"2026-12-04T10:00:00Z","msg":"of another program"}`))
	require.ErrorContains(t, err, "no event")
}

// A log line may follow the prefix of a log collector.
func TestPrefixIsLeftOut(t *testing.T) {
	line, err := Parse([]byte(`  12.3456 entry-2 | {"ts":"2026-12-04T10:00:00Z","host":"entry-2","msg":"edge: stopped","took_ms":3}`))
	require.NoError(t, err)
	require.Equal(t, HostStopped{TookMS: 3}, line.Event)
	require.Equal(t, time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC), line.Time.UTC())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"ts":"2026-12-04T10:00:00Z","host":"h","msg":"gateway: request sent","send":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		line, err := Parse(text)
		if err == nil {
			require.NotNil(t, line.Event)
			_ = line.Event.Text()
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&discard{}), zapcore.InfoLevel))
	e := RequestSent{Request: "0123456789abcdef", Server: "s-1", Address: "10.0.0.1:80", Send: 1, MapEpoch: 3, MapChange: 12}
	b.ReportAllocs()
	for b.Loop() {
		Write(logger, e)
	}
}

// discard is an output that discards everything.
type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }
