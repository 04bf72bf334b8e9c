package cli

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/requestlog"
	"github.com/lacewingsaddle/lacewingsaddle/storeview"
)

// readDeployment reads the deployment's state from the platform's store.
func (s *session) readDeployment(ctx context.Context) (*storeview.Deployment, error) {
	store := s.env.OpenStore(s.args.Store)
	defer store.Close()
	return storeview.Read(ctx, store)
}

func (s *session) storeStatus(ctx context.Context) error {
	d, err := s.readDeployment(ctx)
	if err != nil {
		return err
	}
	st := d.Status()
	return s.print(st, func(t *table) { t.storeStatus(st) })
}

func (t *table) storeStatus(st storeview.Status) {
	t.row("assigner", orDash(st.Assigner)+" "+st.AssignerPeer)
	t.row("epoch", strconv.FormatUint(st.Epoch, 10)+"."+strconv.FormatUint(st.Change, 10))
	t.row("entry hosts", st.Hosts)
	t.row("configuration", st.Config, strconv.Itoa(st.Routes)+" routes")
	t.row("SERVICE", "READY", "DRAINING", "RANGES", "MOVING", "OWNER NOT READY")
	for _, v := range st.Services {
		if !v.Sharded {
			t.row(v.Name, v.Ready, v.Draining, "-", "-", "-")
			continue
		}
		t.row(v.Name, v.Ready, v.Draining, v.Ranges, v.Moving, v.Unlisted)
	}
}

func (s *session) storeOwners(ctx context.Context) error {
	filter := storeview.Filter{Service: s.args.Owners.Service}
	if text := s.args.Owners.Key; text != "" {
		n, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "a key on the platform is a number up to 65535")
		}
		key := keyrange.Key(n)
		filter.Key = &key
	}
	d, err := s.readDeployment(ctx)
	if err != nil {
		return err
	}
	list, err := d.Owners(filter)
	if err != nil {
		return err
	}
	return s.print(list, func(t *table) {
		t.row("SERVICE", "FROM", "TO", "SERVER", "ADDRESS", "STATE", "TOKEN", "MAY STILL HOLD")
		for _, o := range list {
			t.row(o.Service, o.From, o.To, o.Server, orDash(o.Address), o.State, o.Fence, orDash(strings.Join(o.Prior, " ")))
		}
	})
}

// logFile is the path of a host's log.
type logFile string

// Open implements requestlog.Log.
func (f logFile) Open() (io.ReadCloser, error) { return os.Open(string(f)) }

// explainLogs explains a request from the hosts' logs.
func (s *session) explainLogs(context.Context) error {
	logs := make([]requestlog.Log, 0, len(s.args.Explain.Logs))
	for _, path := range s.args.Explain.Logs {
		logs = append(logs, logFile(path))
	}
	x, err := requestlog.Explain(s.args.Explain.Subject, logs)
	if err != nil {
		return err
	}
	return s.print(x, func(t *table) { t.requestLog(x) })
}

func (t *table) requestLog(x *requestlog.Explanation) {
	t.row("request " + x.Request)
	t.logSteps(x.Steps)
	if len(x.Context) > 0 {
		t.row("")
		t.row("cluster events that concern the request")
		t.logSteps(x.Context)
	}
	t.row("")
	for _, f := range x.Findings {
		t.row(f)
	}
	if x.Unread > 0 {
		t.row(strconv.Itoa(x.Unread) + " lines could not be read")
	}
}

func (t *table) logSteps(steps []requestlog.Step) {
	for _, s := range steps {
		t.row(s.Time.UTC().Format("15:04:05.000"), s.Host, s.Text)
	}
}
