package query

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	// trailKept bounds the entries kept of one stream.
	trailKept = 4096
	// movesKept bounds the moves kept of one shard or pinned key.
	movesKept = 5
)

// Verdict says what the fold of a stream made of a record.
type Verdict string

// The verdicts.
const (
	Accepted   Verdict = "accepted"
	Void       Verdict = "void"       // it lost a race or is invalid
	Unreadable Verdict = "unreadable" // it is no record that this host can read
	Expired    Verdict = "unknown"    // the records that decide it are no longer kept
)

// AuditEntry is one record of the audit trail.
type AuditEntry struct {
	Stream  string      `json:"stream"`
	Offset  tlog.Offset `json:"offset"`
	Time    time.Time   `json:"time"` // when the log took the record, by its clock
	ID      string      `json:"id"`
	Author  string      `json:"author"`
	Kind    string      `json:"kind"`
	Subject string      `json:"subject"` // such as profile/stock or inventario/inv-03
	Cause   string      `json:"cause"`
	Verdict Verdict     `json:"verdict"`
	Reason  string      `json:"reason,omitempty"` // why it is void or unreadable
	Detail  string      `json:"detail,omitempty"` // such as the number of moves
}

// Move is one change of the owner of a shard or pinned key.
type Move struct {
	Offset tlog.Offset `json:"offset"`
	Time   time.Time   `json:"time"`
	From   string      `json:"from,omitempty"`
	To     string      `json:"to"`
	Author string      `json:"author"`
	Cause  string      `json:"cause"`
}

// place names a shard of a service, or a pinned key when key is not empty.
type place struct {
	service string
	shard   ownership.Shard
	key     string
}

// trail folds both streams anew, so that each record shows its verdict. It
// reads on when asked and keeps a bounded number of entries.
type trail struct {
	log tlog.Log

	mu        sync.Mutex
	profiles  follower
	ownership follower
	catalog   *profile.Catalog
	state     *ownership.State
	moves     map[place][]Move
}

// follower is how far one stream was read.
type follower struct {
	stream  string
	next    tlog.Offset
	entries []AuditEntry
	// unknown is true after a gap until a checkpoint restores the fold.
	unknown bool
}

func newTrail(log tlog.Log, cell string) *trail {
	return &trail{
		log:       log,
		profiles:  follower{stream: tlog.ProfileStream, next: 1},
		ownership: follower{stream: tlog.OwnershipStream(cell), next: 1},
		catalog:   profile.NewCatalog(),
		state:     ownership.NewState(),
		moves:     map[place][]Move{},
	}
}

// catchUp reads both streams to their end.
func (t *trail) catchUp(ctx context.Context) error {
	if err := t.read(ctx, &t.profiles, t.onProfile); err != nil {
		return err
	}
	return t.read(ctx, &t.ownership, t.onOwnership)
}

func (t *trail) read(ctx context.Context, f *follower, apply func(r tlog.Record) AuditEntry) error {
	for {
		batch, err := t.log.Read(ctx, f.stream, f.next, 0)
		if fault.KindOf(err) == fault.LogGap && err != nil && batch.First > f.next {
			f.next = batch.First
			f.unknown = true
			continue
		}
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			return nil
		}
		if f.unknown {
			t.restore(f, batch.Records)
		}
		for _, r := range batch.Records {
			if r.Offset < f.next {
				continue
			}
			entry := apply(r)
			entry.Stream, entry.Offset, entry.Time = f.stream, r.Offset, r.Time
			f.keep(entry)
			f.next = r.Offset + 1
		}
	}
}

// restore takes up the first checkpoint among records. Records that it covers
// keep an unknown verdict.
func (t *trail) restore(f *follower, records []tlog.Record) {
	for _, r := range records {
		if f == &t.profiles {
			c, err := profile.DecodeCatalogCheckpoint(r.Data)
			if err == nil && c.Applied+1 >= f.next {
				t.catalog, f.unknown = c, false
				return
			}
			continue
		}
		record, err := ownership.DecodeRecord(r.Data)
		if err != nil || record.Kind != ownership.CheckpointRecord {
			continue
		}
		s, err := record.Checkpoint.State()
		if err == nil && s.Applied+1 >= f.next {
			t.state, f.unknown = s, false
			return
		}
	}
}

func (f *follower) keep(e AuditEntry) {
	if len(f.entries) >= 2*trailKept {
		f.entries = slices.Clone(f.entries[trailKept:])
	}
	f.entries = append(f.entries, e)
}

// judge turns a fold's error into a verdict.
func judge(err error) (Verdict, string) {
	switch {
	case err == nil:
		return Accepted, ""
	case fault.KindOf(err) == fault.BadRecord:
		return Unreadable, err.Error()
	default:
		return Void, err.Error()
	}
}

func (t *trail) onProfile(r tlog.Record) AuditEntry {
	entry := AuditEntry{Verdict: Expired}
	if record, err := profile.DecodeRecord(r.Data); err == nil {
		entry.ID, entry.Author, entry.Cause = record.ID, record.Author, record.Cause
		entry.Kind = string(record.Kind)
		entry.Subject = profileSubject(record)
	}
	if t.profiles.unknown || r.Offset <= t.catalog.Applied {
		return entry
	}
	next, err := t.catalog.Apply(r.Offset, r.Data)
	entry.Verdict, entry.Reason = judge(err)
	t.catalog = next
	return entry
}

func profileSubject(r profile.Record) string {
	switch r.Kind {
	case profile.CancelDocument:
		return string(r.Cancel.Kind) + "/" + r.Cancel.Name
	case profile.CheckpointDocument:
		return tlog.ProfileStream
	default:
		return string(r.Kind) + "/" + r.Name
	}
}

func (t *trail) onOwnership(r tlog.Record) AuditEntry {
	entry := AuditEntry{Verdict: Expired}
	record, err := ownership.DecodeRecord(r.Data)
	if err == nil {
		entry.ID, entry.Author, entry.Cause = record.ID, string(record.Author), record.Cause
		entry.Kind = string(record.Kind)
		entry.Subject, entry.Detail = ownershipSubject(record)
	}
	if t.ownership.unknown || r.Offset <= t.state.Applied {
		return entry
	}
	before := t.state
	next, _, err := before.Apply(r.Offset, r.Data)
	entry.Verdict, entry.Reason = judge(err)
	t.state = next
	if err == nil && record.Kind == ownership.AssignRecord {
		t.noteMoves(before, record, r)
	}
	return entry
}

func ownershipSubject(r ownership.Record) (subject, detail string) {
	switch r.Kind {
	case ownership.JoinRecord:
		return string(r.Member.ID), r.Member.Domain
	case ownership.LeaveRecord, ownership.RemoveRecord:
		return joined(r.Remove), ""
	case ownership.AssignRecord:
		return r.Assign.Service, assignDetail(*r.Assign)
	case ownership.DrainRecord, ownership.UndrainRecord:
		return r.Drain.Service + "/" + r.Drain.Server, ""
	case ownership.CheckpointRecord:
		return "ownership", ""
	}
	return "", ""
}

func joined(ids []ownership.MemberID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, " ")
}

func assignDetail(a ownership.Assignments) string {
	var parts []string
	for _, n := range []struct {
		count int
		word  string
	}{{len(a.Moves), "shards placed"}, {len(a.Pins), "pinned"}, {len(a.Unpins), "unpinned"}} {
		if n.count > 0 {
			parts = append(parts, count(n.count)+" "+n.word)
		}
	}
	return strings.Join(parts, ", ")
}

// noteMoves keeps the changes of owner that an accepted record made.
func (t *trail) noteMoves(before *ownership.State, record ownership.Record, r tlog.Record) {
	a := record.Assign
	old := before.Tables[a.Service]
	note := func(p place, from, to string) {
		if from == to {
			return
		}
		list := append(t.moves[p], Move{
			Offset: r.Offset, Time: r.Time, From: from, To: to,
			Author: string(record.Author), Cause: record.Cause,
		})
		t.moves[p] = list[max(0, len(list)-movesKept):]
	}
	for _, m := range a.Moves {
		note(place{service: a.Service, shard: m.Shard}, ownerOf(old, m.Shard, ""), a.Servers[m.Owner])
	}
	for _, p := range a.Pins {
		shard := ownership.ShardOf(p.Key, a.Shards)
		note(place{a.Service, shard, p.Key}, ownerOf(old, shard, p.Key), a.Servers[p.Owner])
	}
	for _, key := range a.Unpins {
		shard := ownership.ShardOf(key, a.Shards)
		note(place{a.Service, shard, key}, ownerOf(old, shard, key), ownerOf(t.state.Tables[a.Service], shard, ""))
	}
}

// ownerOf returns the owner of a key's pin, or of the shard when the key is
// empty or not pinned.
func ownerOf(t *ownership.Table, shard ownership.Shard, key string) string {
	if t == nil {
		return ""
	}
	p, pinned := t.Pins[key]
	if key == "" || !pinned {
		p = t.Shards[shard]
	}
	if len(p.Servers) == 0 {
		return ""
	}
	return p.Servers[0]
}
