// Package storeview reads the state of a deployment from the platform's store
// alone: who the assigner is, which backend servers are listed, and who owns which
// keys. It works while no entry host runs, and changes nothing.
package storeview

import (
	"context"
	"encoding/json"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// Deployment is the state of a deployment as the store holds it.
type Deployment struct {
	record  assigner.Record
	end     uint64
	servers *directory.Snapshot
	routes  *routetable.Table // nil when none is published
	hosts   []assigner.Host
}

// Read reads the whole state. Errors are those of the store.
func Read(ctx context.Context, store cluster.Store) (*Deployment, error) {
	d := &Deployment{}
	data, end, err := store.LoadAssignment(ctx)
	if err != nil {
		return nil, err
	}
	d.end = end
	if data != nil {
		if err := json.Unmarshal(data, &d.record); err != nil {
			return nil, fault.Wrap(fault.BadRecord, err, "read the assignment record")
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

// Status is a deployment at a glance.
type Status struct {
	Epoch    uint64 `json:"epoch"`
	Change   uint64 `json:"change"`
	Assigner string `json:"assigner"` // empty after a resignation
	// AssignerPeer is where other hosts reach it.
	AssignerPeer string          `json:"assigner_peer"`
	End          uint64          `json:"end"` // offset after the newest record
	Hosts        int             `json:"hosts"`
	Config       uint64          `json:"config"` // version of the newest configuration
	Routes       int             `json:"routes"`
	Services     []ServiceStatus `json:"services"`
}

// ServiceStatus is one service at a glance.
type ServiceStatus struct {
	Name     string `json:"name"`
	Sharded  bool   `json:"sharded"`
	Ready    int    `json:"ready"` // backend servers
	Draining int    `json:"draining"`
	Ranges   int    `json:"ranges"`
	// Moving is the number of ranges that an earlier owner may still hold, Unlisted
	// of those whose owner is not listed or is leaving.
	Moving   int `json:"moving"`
	Unlisted int `json:"unlisted"`
}

// Status sums the deployment up.
func (d *Deployment) Status() Status {
	out := Status{
		Epoch:        d.record.Epoch,
		Change:       d.record.Change,
		Assigner:     d.record.Assigner.Name,
		AssignerPeer: d.record.Assigner.Peer,
		End:          d.end,
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
		case v.State == directory.Ready:
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

// Owner is one range of keys and who owns it.
type Owner struct {
	Service string       `json:"service"`
	From    keyrange.Key `json:"from"`
	To      keyrange.Key `json:"to"`
	Server  string       `json:"server"`
	Address string       `json:"address"`
	State   string       `json:"state"` // of the server, "not listed" for none
	Fence   uint64       `json:"fence"`
	// Prior lists earlier owners that may still hold keys of the range.
	Prior []string `json:"prior,omitempty"`
}

// Filter chooses ranges.
type Filter struct {
	Service string        // empty for every one
	Key     *keyrange.Key // nil for every one
}

// Owners returns the ranges that a filter chooses. The error is of kind NotFound
// when there is none.
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
		return nil, fault.New(fault.NotFound, "no recorded range fits")
	}
	return out, nil
}

func (d *Deployment) owner(service string, r keyrange.Range) Owner {
	out := Owner{Service: service, From: r.From, To: r.To, Server: r.Owner.ID, State: d.stateOf(r.Owner), Fence: uint64(r.Fence)}
	if v := d.servers.Find(r.Owner.ID); v != nil {
		out.Address = v.Address
	}
	for _, h := range r.Prior {
		out.Prior = append(out.Prior, h.ID)
	}
	return out
}

// stateOf returns the state of the process that a range was granted to.
func (d *Deployment) stateOf(h keyrange.Holder) string {
	v := d.servers.Find(h.ID)
	if v == nil {
		return "not listed"
	}
	if v.Holder != h {
		return "restarted"
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
