package profile

import (
	"maps"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Versioned is an accepted document with the metadata of the record that
// published it.
type Versioned[T any] struct {
	Version tlog.Offset `json:"version"` // offset of the accepting record
	ID      string      `json:"id"`      // id of that record
	Author  string      `json:"author"`
	Cause   string      `json:"cause"`
	Time    time.Time   `json:"time"` // by the author's clock; informational only
	Source  string      `json:"source,omitempty"`
	Value   T           `json:"value"`
}

// Catalog is the state that results from applying the records of the profile
// stream in order. It is immutable once published: Apply returns a new catalog.
type Catalog struct {
	Applied  tlog.Offset
	Profiles map[string]Versioned[Profile]
	Services map[string]Versioned[Service]
	// Canceled holds, by record id, the records that are void if they are
	// appended later. An entry is removed once its document has a newer version,
	// since the record's base is then outdated and voids the record anyway.
	Canceled   map[string]Cancel
	Checkpoint tlog.Offset // offset of the newest checkpoint record; 0 for none
	Void       uint64      // number of records that were superseded or invalid
	Bad        uint64      // number of records that could not be decoded
}

// NewCatalog returns the empty catalog, before the first record.
func NewCatalog() *Catalog {
	return &Catalog{
		Profiles: map[string]Versioned[Profile]{},
		Services: map[string]Versioned[Service]{},
		Canceled: map[string]Cancel{},
	}
}

func (c *Catalog) clone() *Catalog {
	next := *c
	next.Profiles = maps.Clone(c.Profiles)
	next.Services = maps.Clone(c.Services)
	next.Canceled = maps.Clone(c.Canceled)
	return &next
}

// Apply returns the catalog after the record at offset. The error says why the
// record could not be decoded or is void; the returned catalog is valid in either
// case. A record at or below Applied changes nothing. The result is determined
// by the records alone, so every host accepts and voids the same ones.
func (c *Catalog) Apply(offset tlog.Offset, data []byte) (*Catalog, error) {
	if offset <= c.Applied {
		return c, nil
	}
	next := c.clone()
	next.Applied = offset
	r, err := DecodeRecord(data)
	if err != nil {
		next.Bad++
		return next, err
	}
	if err := next.apply(offset, r); err != nil {
		next.Void++
		return next, err
	}
	return next, nil
}

// apply modifies c only if it returns nil.
func (c *Catalog) apply(offset tlog.Offset, r Record) error {
	switch r.Kind {
	case CheckpointDocument:
		c.Checkpoint = offset
		return nil
	case CancelDocument:
		return c.cancel(*r.Cancel)
	}
	if cancel, ok := c.Canceled[r.ID]; ok {
		return fault.Newf(fault.Superseded, "record %q was canceled at version %d of %s %q", r.ID, cancel.Base, cancel.Kind, cancel.Name)
	}
	if err := c.validate(r); err != nil {
		return err
	}
	if r.Kind == ProfileDocument {
		c.Profiles[r.Name] = versioned(offset, r, *r.Profile)
	} else {
		c.Services[r.Name] = versioned(offset, r, *r.Service)
	}
	for id, cancel := range c.Canceled {
		if cancel.Kind == r.Kind && cancel.Name == r.Name && cancel.Base != offset {
			delete(c.Canceled, id)
		}
	}
	return nil
}

func versioned[T any](offset tlog.Offset, r Record, value T) Versioned[T] {
	return Versioned[T]{
		Version: offset, ID: r.ID, Author: r.Author, Cause: r.Cause,
		Time: r.Time, Source: r.Source, Value: value,
	}
}

// cancel stores the id of a record that must be void if it is appended later. If
// the document has another version than the record's base, the base already
// voids the record and nothing is stored.
func (c *Catalog) cancel(cancel Cancel) error {
	current := c.current(cancel.Kind, cancel.Name)
	if current.Version != cancel.Base {
		return fault.Newf(fault.Superseded, "%s %q is at version %d, not %d", cancel.Kind, cancel.Name, current.Version, cancel.Base)
	}
	c.Canceled[cancel.ID] = cancel
	return nil
}

// lastChange identifies the record that last changed a document.
type lastChange struct {
	Version tlog.Offset
	ID      string
	Author  string
	Cause   string
}

func (c *Catalog) current(kind DocumentKind, name string) lastChange {
	if kind == ProfileDocument {
		v := c.Profiles[name]
		return lastChange{v.Version, v.ID, v.Author, v.Cause}
	}
	v := c.Services[name]
	return lastChange{v.Version, v.ID, v.Author, v.Cause}
}

// validate returns an error if r is void: its base is not the current version,
// or its document is invalid or conflicts with other documents.
func (c *Catalog) validate(r Record) error {
	current := c.current(r.Kind, r.Name)
	switch {
	case r.Base == current.Version:
	case current.ID == r.ID:
		return fault.Newf(fault.Superseded, "the record was accepted before, as version %d", current.Version)
	case current.Version == 0:
		return fault.Newf(fault.Superseded, "%s %q does not exist, so it has no version %d", r.Kind, r.Name, r.Base)
	default:
		return fault.Newf(fault.Superseded, "%s %q is at version %d by %s (%q), not %d",
			r.Kind, r.Name, current.Version, current.Author, current.Cause, r.Base)
	}
	if r.Kind == ProfileDocument {
		return c.validateProfile(r.Name, *r.Profile)
	}
	return c.validateService(r.Name, *r.Service)
}

func (c *Catalog) validateProfile(name string, p Profile) error {
	if p.Name != name {
		return fault.Newf(fault.BadProfile, "the record names profile %q and its document %q", name, p.Name)
	}
	if err := p.Check().AsError(fault.BadProfile, "profile "+name); err != nil {
		return err
	}
	for _, s := range c.Services {
		if s.Value.Profile != name {
			continue
		}
		if err := checkShardingUnchanged(s.Value.Name, c.Profiles[name].Value, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) validateService(name string, s Service) error {
	if s.Name != name {
		return fault.Newf(fault.BadProfile, "the record names service %q and its document %q", name, s.Name)
	}
	if err := s.Check().AsError(fault.BadProfile, "service "+name); err != nil {
		return err
	}
	p, ok := c.Profiles[s.Profile]
	if !ok {
		return fault.Newf(fault.BadProfile, "service %q refers to profile %q, which does not exist", name, s.Profile)
	}
	for other, o := range c.Services {
		if other != name && samePrefix(o.Value.PathPrefix, s.PathPrefix) {
			return fault.Newf(fault.BadProfile, "path prefix %q belongs to service %q", s.PathPrefix, other)
		}
	}
	old, exists := c.Services[name]
	if !exists {
		return nil
	}
	if err := checkAddressesUnchanged(old.Value, s); err != nil {
		return err
	}
	return checkShardingUnchanged(name, c.Profiles[old.Value.Profile].Value, p.Value)
}

func samePrefix(a, b string) bool {
	return strings.TrimRight(a, "/") == strings.TrimRight(b, "/")
}

// checkShardingUnchanged returns an error if after shards a service's keys
// differently. Keys would change their shard, and with it their owner, without
// a fenced move.
func checkShardingUnchanged(service string, before, after Profile) error {
	if (before.Key == nil) != (after.Key == nil) {
		return fault.Newf(fault.BadProfile, "service %q cannot change whether it is sharded by key", service)
	}
	if after.Key != nil && before.Ownership.Shards != after.Ownership.Shards {
		return fault.Newf(fault.BadProfile, "service %q has %d shards; ownership.shards cannot become %d",
			service, before.Ownership.Shards, after.Ownership.Shards)
	}
	return nil
}

// checkAddressesUnchanged returns an error if a server keeps its id but changes
// its address: the process at the old address may still own keys, and nothing
// would fence it.
func checkAddressesUnchanged(before, after Service) error {
	known := map[string]string{}
	for _, s := range before.Servers {
		known[s.ID] = s.Address
	}
	for _, s := range after.Servers {
		if old, ok := known[s.ID]; ok && old != s.Address {
			return fault.Newf(fault.BadProfile, "backend server %q has address %s; a server at %s needs another id",
				s.ID, old, s.Address)
		}
	}
	return nil
}

// ProfileOf returns the profile of a service.
func (c *Catalog) ProfileOf(service string) (Profile, bool) {
	s, ok := c.Services[service]
	if !ok {
		return Profile{}, false
	}
	p, ok := c.Profiles[s.Value.Profile]
	return p.Value, ok
}
