package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// stateBody is the serialized form of a State. Every list is sorted, so that equal
// states have equal encodings.
type stateBody struct {
	Applied Offset        `json:"applied"`
	Members []Member      `json:"members,omitempty"`
	Removed []removedBody `json:"gone,omitempty"`
	Tables  []tableBody   `json:"tables,omitempty"`
	Drains  []drainBody   `json:"drains,omitempty"`
	Latest  Offset        `json:"latest_checkpoint,omitempty"`
	Void    uint64        `json:"void,omitempty"`
	Bad     uint64        `json:"bad,omitempty"`
}

type removedBody struct {
	ID MemberID `json:"id"`
	At Offset   `json:"at"`
}

type drainBody struct {
	Drain
	At Offset `json:"at"`
	On bool   `json:"on"`
}

type tableBody struct {
	Service string          `json:"service"`
	Version Offset          `json:"version"`
	Servers []string        `json:"servers"`
	Shards  []placementBody `json:"shards"`
	Pins    []pinBody       `json:"pins,omitempty"`
	Causes  []causeBody     `json:"causes,omitempty"`
}

type placementBody struct {
	Record  Offset `json:"r,omitempty"`
	Servers []int  `json:"n,omitempty"` // indexes into tableBody.Servers
}

type pinBody struct {
	Key string `json:"k"`
	placementBody
}

type causeBody struct {
	Record Offset `json:"record"`
	Cause
}

func (s *State) body() stateBody {
	b := stateBody{Applied: s.Applied, Latest: s.Checkpoint, Void: s.Void, Bad: s.Bad}
	for _, id := range s.MemberIDs() {
		b.Members = append(b.Members, s.Members[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Removed)) {
		b.Removed = append(b.Removed, removedBody{ID: id, At: s.Removed[id]})
	}
	for d, at := range s.DrainBase {
		_, on := s.Drains[d]
		b.Drains = append(b.Drains, drainBody{Drain: d, At: at, On: on})
	}
	slices.SortFunc(b.Drains, func(x, y drainBody) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Server, y.Server))
	})
	for _, name := range slices.Sorted(maps.Keys(s.Tables)) {
		b.Tables = append(b.Tables, s.Tables[name].body(name))
	}
	return b
}

func (t *Table) body(service string) tableBody {
	b := tableBody{Service: service, Version: t.Version, Shards: make([]placementBody, 0, len(t.Shards))}
	index := map[string]int{}
	t.each(func(_ Shard, key string, p Placement) {
		placed := placementBody{Record: p.Record}
		for _, server := range p.Servers {
			i, ok := index[server]
			if !ok {
				i = len(b.Servers)
				index[server] = i
				b.Servers = append(b.Servers, server)
			}
			placed.Servers = append(placed.Servers, i)
		}
		if key == "" {
			b.Shards = append(b.Shards, placed)
			return
		}
		b.Pins = append(b.Pins, pinBody{Key: key, placementBody: placed})
	})
	for _, c := range t.usedCauses() {
		b.Causes = append(b.Causes, causeBody{Record: c.record, Cause: c.cause})
	}
	return b
}

func (b stateBody) state() (*State, error) {
	s := NewState()
	s.Applied, s.Checkpoint, s.Void, s.Bad = b.Applied, b.Latest, b.Void, b.Bad
	for _, m := range b.Members {
		s.Members[m.ID] = m
	}
	for _, r := range b.Removed {
		s.Removed[r.ID] = r.At
	}
	for _, d := range b.Drains {
		s.DrainBase[d.Drain] = d.At
		if d.On {
			s.Drains[d.Drain] = d.At
		}
	}
	for _, t := range b.Tables {
		table, err := t.table()
		if err != nil {
			return nil, err
		}
		s.Tables[t.Service] = table
	}
	return s, nil
}

func (b tableBody) table() (*Table, error) {
	t := &Table{Version: b.Version, Shards: make([]Placement, 0, len(b.Shards))}
	for _, placed := range b.Shards {
		p, err := b.placement(placed)
		if err != nil {
			return nil, err
		}
		t.Shards = append(t.Shards, p)
	}
	for _, pin := range b.Pins {
		p, err := b.placement(pin.placementBody)
		if err != nil {
			return nil, err
		}
		if t.Pins == nil {
			t.Pins = map[string]Placement{}
		}
		t.Pins[pin.Key] = p
	}
	for _, c := range b.Causes {
		t.causes = append(t.causes, recordCause{c.Record, c.Cause})
	}
	slices.SortFunc(t.causes, func(a, b recordCause) int { return cmp.Compare(a.record, b.record) })
	if len(t.Shards) == 0 {
		return nil, fault.Newf(fault.BadRecord, "checkpoint has no shards for service %q", b.Service)
	}
	return t, nil
}

func (b tableBody) placement(placed placementBody) (Placement, error) {
	p := Placement{Record: placed.Record}
	for _, i := range placed.Servers {
		if i < 0 || i >= len(b.Servers) {
			return p, fault.Newf(fault.BadRecord, "checkpoint of service %q has invalid server index %d", b.Service, i)
		}
		p.Servers = append(p.Servers, b.Servers[i])
	}
	if (p.Record == 0) != (len(p.Servers) == 0) {
		return p, fault.Newf(fault.BadRecord, "checkpoint of service %q has a placement with a record but no server, or a server but no record", b.Service)
	}
	return p, nil
}
