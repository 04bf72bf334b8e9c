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
	// keptTrailEntries is the number of entries of one stream that are kept when
	// it is trimmed, which happens at twice that number.
	keptTrailEntries = 4096
	// maxRecentMoves bounds the moves kept for one shard or pinned key.
	maxRecentMoves = 5
)

// Verdict is the result of applying a record to the state of its stream.
type Verdict string

// The verdicts.
const (
	Accepted   Verdict = "accepted"
	Void       Verdict = "void"       // superseded by an earlier record, or invalid
	Unreadable Verdict = "unreadable" // this host cannot decode it
	Expired    Verdict = "unknown"    // the log no longer holds the records needed to decide
)

// AuditEntry is one record of the audit trail.
type AuditEntry struct {
	Stream  string      `json:"stream"`
	Offset  tlog.Offset `json:"offset"`
	Time    time.Time   `json:"time"` // when the log stored the record, by the log's clock
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

// shardOrKey identifies a shard of a service, or a pinned key when key is not
// empty.
type shardOrKey struct {
	service string
	shard   ownership.Shard
	key     string
}

// trail replays both streams to determine the verdict of each record. Each query
// reads the new records; a bounded number of entries is kept.
type trail struct {
	log tlog.Log

	mu        sync.Mutex
	profiles  streamReader
	ownership streamReader
	catalog   *profile.Catalog
	state     *ownership.State
	moves     map[shardOrKey][]Move
}

// streamReader holds the read position and the kept entries of one stream.
type streamReader struct {
	stream  string
	next    tlog.Offset
	entries []AuditEntry
	// stateUnknown is true after a gap until a checkpoint restores the state.
	stateUnknown bool
}

func newTrail(log tlog.Log, cell string) *trail {
	return &trail{
		log:       log,
		profiles:  streamReader{stream: tlog.ProfileStream, next: 1},
		ownership: streamReader{stream: tlog.OwnershipStream(cell), next: 1},
		catalog:   profile.NewCatalog(),
		state:     ownership.NewState(),
		moves:     map[shardOrKey][]Move{},
	}
}

// catchUp reads both streams to their end.
func (t *trail) catchUp(ctx context.Context) error {
	if err := t.read(ctx, &t.profiles, t.applyProfile); err != nil {
		return err
	}
	return t.read(ctx, &t.ownership, t.applyOwnership)
}

func (t *trail) read(ctx context.Context, reader *streamReader, apply func(r tlog.Record) AuditEntry) error {
	for {
		batch, err := t.log.Read(ctx, reader.stream, reader.next, 0)
		if fault.KindOf(err) == fault.LogGap && err != nil && batch.First > reader.next {
			reader.next = batch.First
			reader.stateUnknown = true
			continue
		}
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			return nil
		}
		if reader.stateUnknown {
			t.restore(reader, batch.Records)
		}
		for _, r := range batch.Records {
			if r.Offset < reader.next {
				continue
			}
			entry := apply(r)
			entry.Stream, entry.Offset, entry.Time = reader.stream, r.Offset, r.Time
			reader.appendEntry(entry)
			reader.next = r.Offset + 1
		}
	}
}

// restore loads the first usable checkpoint among records. Records that it
// covers keep an unknown verdict.
func (t *trail) restore(reader *streamReader, records []tlog.Record) {
	for _, r := range records {
		if reader == &t.profiles {
			c, err := profile.DecodeCatalogCheckpoint(r.Data)
			if err == nil && c.Applied+1 >= reader.next {
				t.catalog, reader.stateUnknown = c, false
				return
			}
			continue
		}
		record, err := ownership.DecodeRecord(r.Data)
		if err != nil || record.Kind != ownership.CheckpointRecord {
			continue
		}
		s, err := record.Checkpoint.State()
		if err == nil && s.Applied+1 >= reader.next {
			t.state, reader.stateUnknown = s, false
			return
		}
	}
}

func (reader *streamReader) appendEntry(e AuditEntry) {
	if len(reader.entries) >= 2*keptTrailEntries {
		reader.entries = slices.Clone(reader.entries[keptTrailEntries:])
	}
	reader.entries = append(reader.entries, e)
}

// verdictOf converts the error of applying a record into a verdict and a reason.
func verdictOf(err error) (Verdict, string) {
	switch {
	case err == nil:
		return Accepted, ""
	case fault.KindOf(err) == fault.BadRecord:
		return Unreadable, err.Error()
	default:
		return Void, err.Error()
	}
}

func (t *trail) applyProfile(r tlog.Record) AuditEntry {
	entry := AuditEntry{Verdict: Expired}
	if record, err := profile.DecodeRecord(r.Data); err == nil {
		entry.ID, entry.Author, entry.Cause = record.ID, record.Author, record.Cause
		entry.Kind = string(record.Kind)
		entry.Subject = profileSubject(record)
	}
	if t.profiles.stateUnknown || r.Offset <= t.catalog.Applied {
		return entry
	}
	next, err := t.catalog.Apply(r.Offset, r.Data)
	entry.Verdict, entry.Reason = verdictOf(err)
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

func (t *trail) applyOwnership(r tlog.Record) AuditEntry {
	entry := AuditEntry{Verdict: Expired}
	record, err := ownership.DecodeRecord(r.Data)
	if err == nil {
		entry.ID, entry.Author, entry.Cause = record.ID, string(record.Author), record.Cause
		entry.Kind = string(record.Kind)
		entry.Subject, entry.Detail = ownershipSubject(record)
	}
	if t.ownership.stateUnknown || r.Offset <= t.state.Applied {
		return entry
	}
	before := t.state
	next, _, err := before.Apply(r.Offset, r.Data)
	entry.Verdict, entry.Reason = verdictOf(err)
	t.state = next
	if err == nil && record.Kind == ownership.AssignRecord {
		t.recordMoves(before, record, r)
	}
	return entry
}

func ownershipSubject(r ownership.Record) (subject, detail string) {
	switch r.Kind {
	case ownership.JoinRecord:
		return string(r.Member.ID), r.Member.Domain
	case ownership.LeaveRecord, ownership.RemoveRecord:
		return joinIDs(r.Remove), ""
	case ownership.AssignRecord:
		return r.Assign.Service, assignDetail(*r.Assign)
	case ownership.DrainRecord, ownership.UndrainRecord:
		return r.Drain.Service + "/" + r.Drain.Server, ""
	case ownership.CheckpointRecord:
		return "ownership", ""
	}
	return "", ""
}

func joinIDs(ids []ownership.MemberID) string {
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
			parts = append(parts, formatCount(n.count)+" "+n.word)
		}
	}
	return strings.Join(parts, ", ")
}

// recordMoves stores the changes of owner that an accepted record made.
func (t *trail) recordMoves(before *ownership.State, record ownership.Record, r tlog.Record) {
	a := record.Assign
	old := before.Tables[a.Service]
	add := func(p shardOrKey, from, to string) {
		if from == to {
			return
		}
		list := append(t.moves[p], Move{
			Offset: r.Offset, Time: r.Time, From: from, To: to,
			Author: string(record.Author), Cause: record.Cause,
		})
		t.moves[p] = list[max(0, len(list)-maxRecentMoves):]
	}
	for _, m := range a.Moves {
		add(shardOrKey{service: a.Service, shard: m.Shard}, ownerOf(old, m.Shard, ""), a.Servers[m.Owner])
	}
	for _, p := range a.Pins {
		shard := ownership.ShardOf(p.Key, a.Shards)
		add(shardOrKey{a.Service, shard, p.Key}, ownerOf(old, shard, p.Key), a.Servers[p.Owner])
	}
	for _, key := range a.Unpins {
		shard := ownership.ShardOf(key, a.Shards)
		add(shardOrKey{a.Service, shard, key}, ownerOf(old, shard, key), ownerOf(t.state.Tables[a.Service], shard, ""))
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
