package cli

import (
	"context"
	"io"
	"maps"
	"os"
	"slices"
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
	st := judgedStatus{Status: d.Status()}
	if st.Judgements, err = judgements(s.args.Status.Logs); err != nil {
		return err
	}
	return s.print(st, func(t *table) {
		t.storeStatus(st.Status)
		t.judgements(st.Judgements)
	})
}

// judgedStatus is the store's status with what the hosts' logs say of servers.
type judgedStatus struct {
	storeview.Status
	Judgements []requestlog.Judgement `json:"judgements,omitempty"`
}

// judgedOwner is a range with what the hosts' logs say of its owner.
type judgedOwner struct {
	storeview.Owner
	Judgements []requestlog.Judgement `json:"judgements,omitempty"`
}

// judgements reads the judgements in force from log files.
func judgements(paths []string) ([]requestlog.Judgement, error) {
	if len(paths) == 0 {
		return nil, nil
	}
	return requestlog.Judgements(logFiles(paths))
}

// judgements prints one line for each judgement.
func (t *table) judgements(list []requestlog.Judgement) {
	if len(list) == 0 {
		return
	}
	t.row("SERVER", "JUDGED", "BY ITS", "UNTIL", "BY HOST")
	for _, j := range list {
		t.row(j.Server, j.Standing, j.Source, j.Until, j.Host)
	}
}

// withJudgements adds to each range the judgements on its owner.
func withJudgements(owners []storeview.Owner, list []requestlog.Judgement) []judgedOwner {
	out := make([]judgedOwner, 0, len(owners))
	for _, o := range owners {
		v := judgedOwner{Owner: o}
		for _, j := range list {
			if j.Server == o.Server && j.StartedMS == o.StartedMS {
				v.Judgements = append(v.Judgements, j)
			}
		}
		out = append(out, v)
	}
	return out
}

// text lists the judgements on an owner as "leaving (hosts: 2)".
func (o judgedOwner) text() string {
	count := map[string]int{}
	for _, j := range o.Judgements {
		count[j.Standing]++
	}
	var parts []string
	for _, standing := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, standing+" (hosts: "+strconv.Itoa(count[standing])+")")
	}
	return orDash(strings.Join(parts, ", "))
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
	owners, err := d.Owners(filter)
	if err != nil {
		return err
	}
	said, err := judgements(s.args.Owners.Logs)
	if err != nil {
		return err
	}
	list := withJudgements(owners, said)
	return s.print(list, func(t *table) {
		t.row("SERVICE", "FROM", "TO", "SERVER", "ADDRESS", "STATE", "TOKEN", "MAY STILL HOLD", "JUDGED")
		for _, o := range list {
			t.row(o.Service, o.From, o.To, o.Server, orDash(o.Address), o.State, o.Fence, orDash(strings.Join(o.Prior, " ")), o.text())
		}
	})
}

// logFile is the path of a host's log.
type logFile string

// Open implements requestlog.Log.
func (f logFile) Open() (io.ReadCloser, error) { return os.Open(string(f)) }

// logFiles returns the logs at the given paths.
func logFiles(paths []string) []requestlog.Log {
	logs := make([]requestlog.Log, 0, len(paths))
	for _, path := range paths {
		logs = append(logs, logFile(path))
	}
	return logs
}

// explainLogs explains a request from the hosts' logs.
func (s *session) explainLogs(context.Context) error {
	x, err := requestlog.Explain(s.args.Explain.Subject, logFiles(s.args.Explain.Logs))
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
