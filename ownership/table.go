package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// spareCauses is how many causes more than it has placements a Table may hold.
const spareCauses = 64

// withAssignment returns the table that results from the assignment record r at
// offset.
func (t *Table) withAssignment(offset Offset, r Record) *Table {
	a := *r.Assign
	out := &Table{
		Version: offset,
		Shards:  slices.Clone(t.Shards),
		Pins:    t.Pins,
		causes:  append(slices.Clip(t.causes), recordCause{offset, Cause{Author: r.Author, Text: r.Cause}}),
	}
	for _, m := range a.Moves {
		out.Shards[m.Shard] = a.placement(offset, m.Owner, m.Successors)
	}
	if len(a.Pins)+len(a.Unpins) > 0 {
		out.applyPins(offset, a)
	}
	if len(out.causes) > len(out.Shards)+len(out.Pins)+spareCauses {
		out.causes = out.usedCauses()
	}
	return out
}

// recordCause is the cause of the record at an offset.
type recordCause struct {
	record Offset
	cause  Cause
}

// Cause returns the author of the assignment record at an offset and the reason for
// it. It is available for every record that a placement names.
func (t *Table) Cause(record Offset) (Cause, bool) {
	i, ok := slices.BinarySearchFunc(t.causes, record, func(c recordCause, at Offset) int { return cmp.Compare(c.record, at) })
	if !ok {
		return Cause{}, false
	}
	return t.causes[i].cause, true
}

// usedCauses returns the causes of the records that a placement names.
func (t *Table) usedCauses() []recordCause {
	used := map[Offset]bool{}
	t.each(func(_ Shard, _ string, p Placement) { used[p.Record] = true })
	out := make([]recordCause, 0, len(used))
	for _, c := range t.causes {
		if used[c.record] {
			out = append(out, c)
		}
	}
	return out
}

// each calls f for every placement: first the shards, with an empty key, then the
// pins in the order of their keys.
func (t *Table) each(f func(shard Shard, key string, p Placement)) {
	for i, p := range t.Shards {
		f(Shard(i), "", p)
	}
	for _, key := range slices.Sorted(maps.Keys(t.Pins)) {
		f(ShardOf(key, len(t.Shards)), key, t.Pins[key])
	}
}

// placement returns the placement of key.
func (t *Table) placement(key string) Placement {
	if p, pinned := t.Pins[key]; pinned {
		return p
	}
	return t.Shards[ShardOf(key, len(t.Shards))]
}

func (a Assignments) placement(offset Offset, owner int, successors []int) Placement {
	servers := make([]string, 0, 1+len(successors))
	servers = append(servers, a.Servers[owner])
	for _, i := range successors {
		servers = append(servers, a.Servers[i])
	}
	return Placement{Record: offset, Servers: servers}
}

// applyPins applies the pins and unpins of a batch. An unpinned key returns to the
// owner of its shard. The shard's placement gets the offset of the batch, because
// the token of the key must increase.
func (t *Table) applyPins(offset Offset, a Assignments) {
	pins := maps.Clone(t.Pins)
	if pins == nil {
		pins = map[string]Placement{}
	}
	for _, key := range a.Unpins {
		if _, ok := pins[key]; !ok {
			continue
		}
		delete(pins, key)
		if p := &t.Shards[ShardOf(key, len(t.Shards))]; p.Record != 0 {
			p.Record = offset
		}
	}
	for _, p := range a.Pins {
		pins[p.Key] = a.placement(offset, p.Owner, p.Successors)
	}
	t.Pins = pins
}
