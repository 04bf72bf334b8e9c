package ownership

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// checkpointVersion is the newest checkpoint format that this code reads.
const checkpointVersion = 1

// checkpointLimit bounds the size of a decompressed checkpoint, in bytes.
const checkpointLimit = 256 << 20

// Checkpoint is a state in force, compressed for the ownership stream or a peer.
type Checkpoint struct {
	Version int    `json:"version"`
	Through Offset `json:"through"` // the state's applied offset
	Hash    string `json:"hash"`    // SHA-256 of the uncompressed body, in hexadecimal
	Body    []byte `json:"body"`    // deflated JSON
}

// EncodeCheckpoint returns the state as an encoded checkpoint. Equal states
// produce equal bytes.
func (s *State) EncodeCheckpoint() ([]byte, error) {
	c, err := s.checkpoint()
	if err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

func (s *State) checkpoint() (Checkpoint, error) {
	body, err := json.Marshal(s.body())
	if err != nil {
		return Checkpoint{}, fault.Wrap(fault.Internal, err, "encode checkpoint")
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return Checkpoint{}, fault.Wrap(fault.Internal, err, "compress checkpoint")
	}
	if _, err := w.Write(body); err != nil {
		return Checkpoint{}, fault.Wrap(fault.Internal, err, "compress checkpoint")
	}
	if err := w.Close(); err != nil {
		return Checkpoint{}, fault.Wrap(fault.Internal, err, "compress checkpoint")
	}
	return Checkpoint{
		Version: checkpointVersion,
		Through: s.Applied,
		Hash:    contentHash(body),
		Body:    compressed.Bytes(),
	}, nil
}

func contentHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// DecodeCheckpoint decodes what EncodeCheckpoint returned. Unknown fields are
// ignored. Errors are of kind BadRecord.
func DecodeCheckpoint(data []byte) (*State, error) {
	var c Checkpoint
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "decode checkpoint")
	}
	return c.State()
}

// State decompresses and validates the checkpoint. Errors are of kind BadRecord.
func (c Checkpoint) State() (*State, error) {
	if c.Version < 1 || c.Version > checkpointVersion {
		return nil, fault.Newf(fault.BadRecord, "unsupported checkpoint version %d", c.Version)
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Body)), checkpointLimit))
	if err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "decompress checkpoint")
	}
	if contentHash(body) != c.Hash {
		return nil, fault.Newf(fault.BadRecord, "content of checkpoint through offset %d does not match its hash", c.Through)
	}
	var b stateBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "decode checkpoint body")
	}
	s, err := b.state()
	if err != nil {
		return nil, err
	}
	if s.Applied != c.Through {
		return nil, fault.Newf(fault.BadRecord, "checkpoint through offset %d contains the state at offset %d", c.Through, s.Applied)
	}
	return s, nil
}
