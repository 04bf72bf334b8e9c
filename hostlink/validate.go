package hostlink

import (
	"net"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Limits of a message. A host never sends one beyond them; what does comes from
// another program, or from a host in trouble.
const (
	maxRequestBytes  = 1 << 20
	maxResponseBytes = 8 << 20
	maxNameBytes     = 512
	maxEntries       = 20_000 // of each list
	maxCount         = 1 << 20
	maxServers       = 100_000
	// maxWait bounds the time for which a request may ask to wait.
	maxWait = 10 * time.Second
	// maxGrant bounds the duration of a relayed grant.
	maxGrant = time.Minute
)

// message is a message that checks its values after it was decoded. Errors are of kind
// BadMessage.
type message interface{ validate() error }

// check returns an error that names the field unless ok holds.
func check(ok bool, field string) error {
	if ok {
		return nil
	}
	return fault.Newf(fault.BadMessage, "%s is missing or out of range", field)
}

// first returns the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// validAddress reports whether s has the form IP:port.
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && len(s) <= maxNameBytes && net.ParseIP(host) != nil && port != ""
}

func validMillis(ms int64, limit time.Duration) bool { return ms >= 0 && ms <= limit.Milliseconds() }

func (q *SyncRequest) validate() error {
	return first(
		check(validName(q.From.Name) && len(q.From.Incarnation) <= maxNameBytes, "from"),
		check(validAddress(q.From.Peer), "from.peer"),
		check(validMillis(int64(q.WaitMS), maxWait), "wait"),
		validateReport(&q.Report),
	)
}

func validateReport(r *assigner.Report) error {
	for _, k := range r.Keys {
		if err := check(validName(k.Service) && k.Count > 0 && k.Count <= maxCount, "report.keys"); err != nil {
			return err
		}
	}
	for _, t := range r.Latencies {
		if err := check(validName(t.ID) && validMillis(int64(t.Millis), time.Hour), "report.times"); err != nil {
			return err
		}
	}
	for _, c := range r.Rejected {
		if err := check(validName(c.ID) && c.Count > 0 && c.Count <= maxCount, "report.rejected"); err != nil {
			return err
		}
	}
	return first(
		check(len(r.Rejected) <= maxEntries, "report.rejected"),
		check(len(r.Keys) <= maxEntries && len(r.Latencies) <= maxEntries, "report"),
		validateHolders(r.Refused, "report.refused"),
		validateHolders(r.Reached, "report.reached"),
		validateHolders(r.Leaving, "report.leaving"),
		validateFull(r.Full),
	)
}

func validateFull(list []assigner.FullServer) error {
	for _, f := range list {
		if err := check(validName(f.Holder.ID) && f.ForMS > 0 && validMillis(f.ForMS, assigner.MaxFull), "report.full"); err != nil {
			return err
		}
	}
	return check(len(list) <= maxEntries, "report.full")
}

func validateHolders(list []keyrange.Holder, field string) error {
	for _, h := range list {
		if err := check(validName(h.ID), field); err != nil {
			return err
		}
	}
	return check(len(list) <= maxEntries, field)
}

func (a *SyncResponse) validate() error {
	return first(
		validateMap(a.Map),
		validateDirectory(a.Servers),
		validateChanges(a.Changes),
		validateHosts(a.Hosts),
		validateSuspects(a.Suspects),
		validateAdmission(a.Admission),
		validateLeaving(a.Leaving),
	)
}

func validateMap(m *Map) error {
	if m == nil {
		return nil
	}
	return check(m.Unpack() != nil, "map")
}

// validateDirectory checks the entries and their order, which lookups rely on.
func validateDirectory(s *directory.Snapshot) error {
	if s == nil {
		return nil
	}
	for i, v := range s.Servers {
		if err := validateServer(&v); err != nil {
			return err
		}
		if i > 0 && s.Servers[i-1].Holder.ID >= v.Holder.ID {
			return check(false, "servers (not in order)")
		}
	}
	return check(len(s.Servers) <= maxServers, "servers")
}

func validateServer(v *directory.Server) error {
	return first(
		check(validName(v.Holder.ID), "servers.holder"),
		check(validName(v.Service), "servers.service"),
		check(validName(v.Address), "servers.address"),
		check(v.Slots >= 0 && v.Slots <= maxCount, "servers.slots"),
		check(v.State == directory.Ready || v.State == directory.Draining, "servers.state"),
	)
}

func validateChanges(d *directory.Delta) error {
	if d == nil {
		return nil
	}
	for _, c := range d.Changes {
		if c.Server == nil {
			continue
		}
		err := first(check(c.ID == c.Server.Holder.ID, "changes.id"), validateServer(c.Server))
		if err != nil {
			return err
		}
	}
	return check(len(d.Changes) <= maxServers, "changes")
}

func validateHosts(l *HostList) error {
	if l == nil {
		return nil
	}
	for _, h := range l.Hosts {
		if err := check(validName(h.Name) && validAddress(h.Peer), "hosts"); err != nil {
			return err
		}
	}
	return check(len(l.Hosts) <= maxEntries, "hosts")
}

func validateSuspects(list []assigner.Suspect) error {
	for _, s := range list {
		if err := check(validName(s.Holder.ID) && validName(s.Address), "suspects"); err != nil {
			return err
		}
	}
	return check(len(list) <= maxEntries, "suspects")
}

func validateAdmission(a *assigner.Admission) error {
	if a == nil {
		return nil
	}
	for _, l := range a.Limits {
		if err := check(validName(l.Service) && l.Share >= 0 && l.Share <= 1, "admission"); err != nil {
			return err
		}
	}
	return check(len(a.Limits) <= maxEntries, "admission")
}

func validateLeaving(l *LeavingList) error {
	if l == nil {
		return nil
	}
	return first(check(l.Digest != 0, "leaving.digest"), validateHolders(l.Servers, "leaving"))
}

func (c *RelayRequest) validate() error {
	return first(
		check(validName(c.From.Name), "from"),
		check(c.Epoch > 0, "epoch"),
		check(validName(c.Address), "address"),
		check(c.Range.From <= c.Range.To && c.Range.Fence > 0 && validName(c.Range.Owner.ID), "range"),
		check(c.Release || c.HoldMS > 0 && validMillis(c.HoldMS, maxGrant), "hold_ms"),
		check(c.LimitMS > 0 && validMillis(c.LimitMS, maxWait), "limit_ms"),
	)
}

func (r *RelayResponse) validate() error {
	return first(
		check(r.Result <= assigner.CallFailed, "result"),
		check(len(r.Handover) <= maxNameBytes, "handover"),
	)
}
