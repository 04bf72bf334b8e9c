// Package storeview reads the state of a deployment from the platform's store
// alone: which host is the assigner, which backend servers are listed, and which of
// them owns which keys. It is read-only and works while no entry host runs.
package storeview

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// Deployment is the state of a deployment, read from the store.
type Deployment struct {
	record    assigner.Record
	endOffset uint64
	servers   *directory.Snapshot
	routes    *routetable.Table // nil when no configuration is published
	hosts     []assigner.Host
}

// Read reads the whole state. It returns the store's errors unchanged; a record that
// cannot be decoded gives an error of kind BadRecord.
func Read(ctx context.Context, store cluster.Store) (*Deployment, error) {
	d := &Deployment{}
	data, end, err := store.LoadAssignment(ctx)
	if err != nil {
		return nil, err
	}
	d.endOffset = end
	if data != nil {
		if err := json.Unmarshal(data, &d.record); err != nil {
			return nil, fault.Wrap(fault.BadRecord, err, "decode the assignment record")
		}
	}
	all, next, err := store.AllServers(ctx)
	if err != nil {
		return nil, err
	}
	d.servers = (&directory.Snapshot{}).Reload(all, next)
	if d.hosts, _, err = store.AllHosts(ctx); err != nil {
		return nil, err
	}
	return d, d.readRoutes(ctx, store)
}

func (d *Deployment) readRoutes(ctx context.Context, store cluster.Store) error {
	data, _, err := store.NewestConfig(ctx)
	if err != nil || data == nil {
		return err
	}
	d.routes, err = store.DecodeConfig(data)
	return err
}

// Status summarizes a deployment.
type Status struct {
	Epoch    uint64 `json:"epoch"`
	Change   uint64 `json:"change"`
	Assigner string `json:"assigner"` // empty after the assigner has resigned
	// AssignerPeer is the address at which other hosts reach the assigner.
	AssignerPeer string          `json:"assigner_peer"`
	End          uint64          `json:"end"` // the offset after the newest record
	Hosts        int             `json:"hosts"`
	Config       uint64          `json:"config"` // version of the newest configuration
	Routes       int             `json:"routes"`
	Services     []ServiceStatus `json:"services"`
}

// ServiceStatus summarizes one service.
type ServiceStatus struct {
	Name     string `json:"name"`
	Sharded  bool   `json:"sharded"`
	Ready    int    `json:"ready"` // backend servers
	Draining int    `json:"draining"`
	Ranges   int    `json:"ranges"`
	// Moving is the number of ranges that an earlier owner may still hold. Unlisted is
	// the number of ranges whose owner is not ready: it is not listed, has restarted, or
	// is draining.
	Moving   int `json:"moving"`
	Unlisted int `json:"unlisted"`
}

// Status returns a summary of the deployment.
func (d *Deployment) Status() Status {
	out := Status{
		Epoch:        d.record.Epoch,
		Change:       d.record.Change,
		Assigner:     d.record.Assigner.Name,
		AssignerPeer: d.record.Assigner.Peer,
		End:          d.endOffset,
		Hosts:        len(d.hosts),
	}
	if d.routes == nil {
		return out
	}
	out.Config, out.Routes = d.routes.Version, d.routes.RouteCount
	for _, s := range d.routes.Services {
		out.Services = append(out.Services, d.serviceStatus(s))
	}
	return out
}

func (d *Deployment) serviceStatus(s routetable.Service) ServiceStatus {
	out := ServiceStatus{Name: s.Name, Sharded: s.Sharded}
	for _, v := range d.servers.Servers {
		switch {
		case v.Service != s.Name:
		case d.stateOf(v.Holder) == string(directory.Ready):
			out.Ready++
		default:
			out.Draining++
		}
	}
	for _, r := range d.ranges(s.Name) {
		out.Ranges++
		if len(r.Prior) > 0 {
			out.Moving++
		}
		if d.stateOf(r.Owner) != string(directory.Ready) {
			out.Unlisted++
		}
	}
	return out
}

// Owner describes a range of keys and the backend server that owns it.
type Owner struct {
	Service string       `json:"service"`
	From    keyrange.Key `json:"from"`
	To      keyrange.Key `json:"to"`
	Server  string       `json:"server"`
	// StartedMS is the start of the server's process that the range was granted to, in
	// Unix milliseconds.
	StartedMS int64  `json:"born"`
	Address   string `json:"address"`
	State     string `json:"state"` // of the server; "not listed" or "restarted" if the owning process is gone
	Fence     uint64 `json:"fence"`
	// Prior lists earlier owners that may still hold keys of the range.
	Prior []string `json:"prior,omitempty"`
}

// Filter selects ranges.
type Filter struct {
	Service string        // empty for all services
	Key     *keyrange.Key // nil for all keys
}

// Owners returns the ranges that a filter selects, or an error of kind NotFound when
// there are none.
func (d *Deployment) Owners(f Filter) ([]Owner, error) {
	var out []Owner
	for _, t := range d.record.Tables {
		if f.Service != "" && f.Service != t.Service {
			continue
		}
		for _, r := range t.Ranges {
			if f.Key == nil || r.Contains(*f.Key) {
				out = append(out, d.owner(t.Service, r))
			}
		}
	}
	if len(out) == 0 {
		return nil, fault.New(fault.NotFound, "no recorded key range matches the filter")
	}
	return out, nil
}

func (d *Deployment) owner(service string, r keyrange.Range) Owner {
	out := Owner{Service: service, From: r.From, To: r.To, Server: r.Owner.ID, StartedMS: r.Owner.StartedMS, State: d.stateOf(r.Owner), Fence: uint64(r.Fence)}
	if v := d.servers.Find(r.Owner.ID); v != nil {
		out.Address = v.Address
	}
	for _, h := range r.Prior {
		out.Prior = append(out.Prior, h.ID)
	}
	return out
}

// stateOf returns the state of the process that a range was granted to. One that leaves
// as its answers say is draining from the first record on that moves keys after that.
func (d *Deployment) stateOf(h keyrange.Holder) string {
	v := d.servers.Find(h.ID)
	if v == nil {
		return "not listed"
	}
	if v.Holder != h {
		return "restarted"
	}
	if slices.Contains(d.record.Leaving, h) {
		return string(directory.Draining)
	}
	return string(v.State)
}

func (d *Deployment) ranges(service string) []keyrange.Range {
	for _, t := range d.record.Tables {
		if t.Service == service {
			return t.Ranges
		}
	}
	return nil
}
