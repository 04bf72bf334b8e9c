package profile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// CheckpointRecord is the body of a checkpoint record: a complete catalog.
type CheckpointRecord struct {
	Through tlog.Offset     `json:"through"` // offset of the last record that State includes
	Hash    string          `json:"hash"`    // SHA-256 of State, in hexadecimal
	State   json.RawMessage `json:"state"`
}

// checkpointState is the JSON form of a catalog in a checkpoint.
type checkpointState struct {
	Profiles   map[string]Versioned[json.RawMessage] `json:"profiles"`
	Services   map[string]Versioned[Service]         `json:"services"`
	Canceled   map[string]Cancel                     `json:"canceled,omitempty"`
	Checkpoint tlog.Offset                           `json:"checkpoint,omitempty"`
	Void       uint64                                `json:"void"`
	Bad        uint64                                `json:"bad"`
}

// EncodeCheckpoint returns a record of kind checkpoint with the complete catalog.
// Hosts that applied the same records produce the same state and hash.
func (c *Catalog) EncodeCheckpoint(id, author, cause string) (Record, error) {
	state := checkpointState{
		Profiles: map[string]Versioned[json.RawMessage]{}, Services: c.Services,
		Canceled: c.Canceled, Checkpoint: c.Checkpoint, Void: c.Void, Bad: c.Bad,
	}
	for name, p := range c.Profiles {
		raw, err := json.Marshal(p.Value)
		if err != nil {
			return Record{}, fault.Wrap(fault.Internal, err, "encode profile "+name)
		}
		state.Profiles[name] = withValue(p, json.RawMessage(raw))
	}
	data, err := json.Marshal(state)
	if err != nil {
		return Record{}, fault.Wrap(fault.Internal, err, "encode the catalog")
	}
	point := &CheckpointRecord{Through: c.Applied, Hash: hashOf(data), State: data}
	return Record{ID: id, Author: author, Cause: cause, Kind: CheckpointDocument, Checkpoint: point}, nil
}

// DecodeCatalogCheckpoint returns the catalog that a checkpoint record holds.
// Errors are of kind BadRecord: the record is not a checkpoint, its hash does not
// match its state, or a document in it is invalid.
func DecodeCatalogCheckpoint(data []byte) (*Catalog, error) {
	r, err := DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	if r.Kind != CheckpointDocument {
		return nil, fault.Newf(fault.BadRecord, "record %q is not a checkpoint", r.ID)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, r.Checkpoint.State); err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "read the checkpoint's state")
	}
	if got := hashOf(compact.Bytes()); got != r.Checkpoint.Hash {
		return nil, fault.Newf(fault.BadRecord, "checkpoint %q states hash %s, but the hash of its state is %s", r.ID, r.Checkpoint.Hash, got)
	}
	var state checkpointState
	if err := json.Unmarshal(r.Checkpoint.State, &state); err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "decode the checkpoint's state")
	}
	return state.catalog(r.Checkpoint.Through)
}

func (s checkpointState) catalog(through tlog.Offset) (*Catalog, error) {
	c := NewCatalog()
	c.Applied, c.Checkpoint, c.Void, c.Bad = through, s.Checkpoint, s.Void, s.Bad
	for name, v := range s.Profiles {
		p := Default(name)
		if err := json.Unmarshal(v.Value, &p); err != nil {
			return nil, fault.Wrap(fault.BadRecord, err, "decode profile "+name)
		}
		if err := p.Check().AsError(fault.BadProfile, "profile "+name); err != nil {
			return nil, fault.Wrap(fault.BadRecord, err, "checkpoint")
		}
		c.Profiles[name] = withValue(v, p)
	}
	for name, v := range s.Services {
		if err := v.Value.Check().AsError(fault.BadProfile, "service "+name); err != nil {
			return nil, fault.Wrap(fault.BadRecord, err, "checkpoint")
		}
		if _, ok := c.Profiles[v.Value.Profile]; !ok {
			return nil, fault.Newf(fault.BadRecord, "checkpoint: service %q refers to a profile that does not exist", name)
		}
		c.Services[name] = v
	}
	for id, cancel := range s.Canceled {
		c.Canceled[id] = cancel
	}
	return c, nil
}

func withValue[A, B any](v Versioned[A], value B) Versioned[B] {
	return Versioned[B]{
		Version: v.Version, ID: v.ID, Author: v.Author, Cause: v.Cause,
		Time: v.Time, Source: v.Source, Value: value,
	}
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
