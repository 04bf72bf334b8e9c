package hostlink

import "github.com/lacewingsaddle/lacewingsaddle/keyrange"

// Map is the compact form of a keyrange.Map for the exchange between hosts: each owner
// is listed once, and a range takes three numbers. Fencing tokens are left out, since
// only the assigner makes grants.
type Map struct {
	Version keyrange.Version  `json:"v"`
	Base    *keyrange.Version `json:"b,omitempty"`
	Owners  []keyrange.Holder `json:"o"`
	Tables  []MapTable        `json:"t"`
}

// MapTable holds the ranges of one service.
type MapTable struct {
	Service string `json:"s"`
	// Ranges holds for each range its first key, its last key, and twice the index
	// of its owner, plus one when the owner has accepted the grant.
	Ranges []uint32 `json:"r"`
}

// numbersPerRange is how many numbers of MapTable.Ranges describe one range.
const numbersPerRange = 3

// PackMap returns the compact form of m.
func PackMap(m *keyrange.Map) *Map {
	out := &Map{Version: m.Version, Base: m.Base}
	index := map[keyrange.Holder]uint32{}
	for _, t := range m.Tables {
		packed := MapTable{Service: t.Service, Ranges: make([]uint32, 0, numbersPerRange*len(t.Ranges))}
		for _, r := range t.Ranges {
			i, ok := index[r.Owner]
			if !ok {
				i = uint32(len(out.Owners))
				index[r.Owner] = i
				out.Owners = append(out.Owners, r.Owner)
			}
			packed.Ranges = append(packed.Ranges, uint32(r.From), uint32(r.To), i<<1|boolBit(r.Granted))
		}
		out.Tables = append(out.Tables, packed)
	}
	return out
}

func boolBit(on bool) uint32 {
	if on {
		return 1
	}
	return 0
}

// Unpack returns the full map, or nil if the message is invalid: ranges must be in order
// and disjoint, since lookups rely on it.
func (m *Map) Unpack() *keyrange.Map {
	out := &keyrange.Map{Version: m.Version, Base: m.Base}
	for _, t := range m.Tables {
		if len(t.Ranges)%numbersPerRange != 0 {
			return nil
		}
		table := keyrange.Table{Service: t.Service}
		next := uint32(0) // first key that the next range may contain
		for i := 0; i < len(t.Ranges); i += numbersPerRange {
			from, to, owner := t.Ranges[i], t.Ranges[i+1], t.Ranges[i+2]
			if from < next || from > to || to > uint32(keyrange.MaxKey) || int(owner>>1) >= len(m.Owners) {
				return nil
			}
			next = to + 1
			table.Ranges = append(table.Ranges, keyrange.Range{
				From: keyrange.Key(from), To: keyrange.Key(to), Owner: m.Owners[owner>>1], Granted: owner&1 == 1,
			})
		}
		out.Tables = append(out.Tables, table)
	}
	return out
}
