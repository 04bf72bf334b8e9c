package query

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Status is one host's view of the deployment.
type Status struct {
	Host      string            `json:"host"`      // this host's incarnation
	Member    bool              `json:"member"`    // its join record is in force
	MayRoute  bool              `json:"may_route"` // it holds a view lease
	LeaseLeft time.Duration     `json:"lease_left_ns"`
	Applied   tlog.Offset       `json:"applied"` // last ownership record applied
	Active    tlog.Offset       `json:"active"`  // last ownership record in force
	Catalog   tlog.Offset       `json:"catalog"` // last profile record applied
	Void      uint64            `json:"void_records"`
	Members   int               `json:"members"`
	Services  []ServiceStatus   `json:"services"`
	Measures  []ServiceMeasures `json:"measures"`
}

// ServiceStatus counts the shards of one service.
type ServiceStatus struct {
	Name    string      `json:"name"`
	Profile string      `json:"profile"`
	Version tlog.Offset `json:"version"` // of the service document
	Keyed   bool        `json:"keyed"`
	Servers int         `json:"servers"`
	Shards  int         `json:"shards"`
	Held    int         `json:"held"`    // shards whose newer owner is not in force yet
	Unowned int         `json:"unowned"` // shards without an owner
	Pins    int         `json:"pins"`
}

// Status returns this host's view of the deployment.
func (s *Service) Status() Status {
	snap := s.control.Snapshot()
	v, now := snap.View, s.control.Now()
	out := Status{
		Host: string(v.Self), Member: v.Member, MayRoute: v.MayRoute(now),
		LeaseLeft: max(0, v.LeaseUntil-now),
		Applied:   v.Applied, Active: v.Active, Catalog: snap.Catalog.Applied,
		Void: snap.Catalog.Void, Members: len(v.Members),
		Services: []ServiceStatus{},
		Measures: s.measures.All(),
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Catalog.Services)) {
		doc := snap.Catalog.Services[name]
		p, _ := snap.Catalog.ProfileOf(name)
		st := ServiceStatus{
			Name: name, Profile: doc.Value.Profile, Version: doc.Version,
			Keyed: p.Key != nil, Servers: len(doc.Value.Servers),
		}
		st.countShards(v.Services[name])
		out.Services = append(out.Services, st)
	}
	return out
}

func (st *ServiceStatus) countShards(sv *ownership.ServiceView) {
	if sv == nil {
		return
	}
	st.Shards, st.Pins = len(sv.Routes), len(sv.Pins)
	for _, r := range sv.Routes {
		if r.Held {
			st.Held++
		} else if r.Server == "" {
			st.Unowned++
		}
	}
}

// HostInfo is one member as seen by this host.
type HostInfo struct {
	ID        string      `json:"id"` // host name and incarnation
	Host      string      `json:"host"`
	Domain    string      `json:"domain"`
	PeerAddr  string      `json:"peer_addr"`
	Self      bool        `json:"self"`
	Ownership tlog.Offset `json:"ownership"` // acknowledged offset of the ownership stream
	Profiles  tlog.Offset `json:"profiles"`  // acknowledged offset of the profile stream
	Behind    bool        `json:"behind"`    // has not acknowledged all that this host applied
}

// Hosts lists the members. Errors are of kind NotReady.
func (s *Service) Hosts(ctx context.Context) ([]HostInfo, error) {
	progress, err := s.control.Progress(ctx)
	if err != nil {
		return nil, err
	}
	snap := s.control.Snapshot()
	out := []HostInfo{}
	for _, p := range progress {
		out = append(out, HostInfo{
			ID: string(p.Member.ID), Host: p.Member.Host, Domain: p.Member.Domain, PeerAddr: p.Member.PeerAddr,
			Self: p.Member.ID == snap.View.Self, Ownership: p.Ownership, Profiles: p.Profiles,
			Behind: p.Ownership < snap.View.Applied || p.Profiles < snap.Catalog.Applied,
		})
	}
	return out, nil
}

// ServerInfo is one backend server of one service.
type ServerInfo struct {
	Service  string  `json:"service"`
	ID       string  `json:"id"`
	Address  string  `json:"address,omitempty"` // empty when the service no longer declares it
	Domain   string  `json:"domain,omitempty"`
	Shards   int     `json:"shards"` // shards owned by the newest records
	Share    float64 `json:"share"`  // of the service's shards
	Pins     int     `json:"pins"`
	Draining bool    `json:"draining"`
}

// Servers lists the backend servers of one service, or of all when service is
// empty. It includes servers that are no longer declared but still own shards.
func (s *Service) Servers(ctx context.Context, service string) ([]ServerInfo, error) {
	state, err := s.control.State(ctx)
	if err != nil {
		return nil, err
	}
	catalog := s.control.Snapshot().Catalog
	out := []ServerInfo{}
	for _, name := range slices.Sorted(maps.Keys(catalog.Services)) {
		if service != "" && service != name {
			continue
		}
		rows := []ServerInfo{}
		for _, server := range catalog.Services[name].Value.Servers {
			rows = append(rows, ServerInfo{Service: name, ID: server.ID, Address: server.Address, Domain: server.Domain})
		}
		out = append(out, countOwned(rows, name, state)...)
	}
	return out, nil
}

func countOwned(rows []ServerInfo, service string, state *ownership.State) []ServerInfo {
	index := map[string]int{}
	for i, row := range rows {
		index[row.ID] = i
	}
	rowOf := func(id string) *ServerInfo {
		i, ok := index[id]
		if !ok {
			i = len(rows)
			index[id] = i
			rows = append(rows, ServerInfo{Service: service, ID: id})
		}
		return &rows[i]
	}
	if t := state.Tables[service]; t != nil {
		for _, p := range t.Shards {
			if len(p.Servers) > 0 {
				rowOf(p.Servers[0]).Shards++
			}
		}
		for _, p := range t.Pins {
			rowOf(p.Servers[0]).Pins++
		}
		for i := range rows {
			rows[i].Share = float64(rows[i].Shards) / float64(len(t.Shards))
		}
	}
	for i := range rows {
		_, rows[i].Draining = state.Drains[ownership.Drain{Service: service, Server: rows[i].ID}]
	}
	return rows
}
