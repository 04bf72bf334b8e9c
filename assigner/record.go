package assigner

import (
	"encoding/json"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Record is the assignment as it is stored. The newest record is the complete state;
// a record is appended only at the end of the partition that its author has read.
type Record struct {
	Epoch  uint64
	Change uint64
	// Assigner is empty after a resignation.
	Assigner Host
	Fences   keyrange.Fence // highest token assigned
	Tables   []keyrange.Table
	// Leaving lists the servers whose answers said that they leave, for operators and for
	// hosts that start after all others are lost.
	Leaving []keyrange.Holder
}

// Version returns the version of the record's map.
func (r Record) Version() keyrange.Version {
	return keyrange.Version{Epoch: r.Epoch, Change: r.Change}
}

// recordJSON is the encoded form of a record: servers are listed once and referred to
// by index.
type recordJSON struct {
	Epoch    uint64            `json:"epoch"`
	Change   uint64            `json:"change"`
	Assigner Host              `json:"assigner"`
	Fences   keyrange.Fence    `json:"fences"`
	Servers  []keyrange.Holder `json:"servers"`
	Tables   []tableJSON       `json:"tables"`
	// Leaving was added later; hosts of earlier versions leave it out.
	Leaving []keyrange.Holder `json:"leaving,omitempty"`
}

type tableJSON struct {
	Service string `json:"service"`
	// Ranges holds the last key, the owner's index and the token of each range. A
	// range begins after the end of the previous one.
	Ranges [][3]uint64 `json:"ranges"`
	// Prior holds pairs of a range's index and the index of an earlier holder.
	Prior [][2]int `json:"prior,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	out := recordJSON{Epoch: r.Epoch, Change: r.Change, Assigner: r.Assigner, Fences: r.Fences, Leaving: r.Leaving}
	index := map[keyrange.Holder]int{}
	number := func(h keyrange.Holder) int {
		i, ok := index[h]
		if !ok {
			i = len(out.Servers)
			index[h] = i
			out.Servers = append(out.Servers, h)
		}
		return i
	}
	for _, t := range r.Tables {
		table := tableJSON{Service: t.Service}
		for i, x := range t.Ranges {
			table.Ranges = append(table.Ranges, [3]uint64{uint64(x.To), uint64(number(x.Owner)), uint64(x.Fence)})
			for _, h := range x.Prior {
				table.Prior = append(table.Prior, [2]int{i, number(h)})
			}
		}
		out.Tables = append(out.Tables, table)
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler. Errors are of kind BadRecord.
func (r *Record) UnmarshalJSON(data []byte) error {
	var in recordJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return fault.Wrap(fault.BadRecord, err, "decode assignment record")
	}
	*r = Record{Epoch: in.Epoch, Change: in.Change, Assigner: in.Assigner, Fences: in.Fences}
	if len(in.Leaving) > 0 {
		r.Leaving = in.Leaving
	}
	services := map[string]bool{}
	for _, t := range in.Tables {
		if services[t.Service] {
			return fault.Newf(fault.BadRecord, "two assignments of service %s", t.Service)
		}
		services[t.Service] = true
		table, err := t.table(in.Servers)
		if err != nil {
			return err
		}
		r.Tables = append(r.Tables, table)
	}
	return nil
}

func (t tableJSON) table(servers []keyrange.Holder) (keyrange.Table, error) {
	out := keyrange.Table{Service: t.Service}
	next := uint64(0)
	for _, x := range t.Ranges {
		if x[0] < next || x[0] > uint64(keyrange.MaxKey) || x[1] >= uint64(len(servers)) {
			return out, fault.Newf(fault.BadRecord, "invalid range %v in the assignment of service %s", x, t.Service)
		}
		out.Ranges = append(out.Ranges, keyrange.Range{
			From: keyrange.Key(next), To: keyrange.Key(x[0]), Owner: servers[x[1]], Fence: keyrange.Fence(x[2]),
		})
		next = x[0] + 1
	}
	for _, p := range t.Prior {
		if p[0] < 0 || p[0] >= len(out.Ranges) || p[1] < 0 || p[1] >= len(servers) {
			return out, fault.Newf(fault.BadRecord, "invalid earlier holder %v in the assignment of service %s", p, t.Service)
		}
		r := &out.Ranges[p[0]]
		r.Prior = append(r.Prior, servers[p[1]])
	}
	return out, nil
}
