package hostlink

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"storj.io/drpc"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// compressAbove is the size in bytes from which a response is compressed. The map and
	// the directory go to every host, and their names repeat.
	compressAbove = 1 << 10
	// compressed is the first byte of a compressed message. JSON never begins with it.
	compressed = 0x01
)

// codec encodes messages as JSON and checks the decoded ones. If report is set, it is
// called with each message that is invalid.
type codec struct{ report func(error) }

// Marshal implements drpc.Encoding.
func (codec) Marshal(msg drpc.Message) ([]byte, error) {
	if r, ok := msg.(*SyncResponse); ok {
		return r.encoded.get(func() ([]byte, error) { return r.encode() })
	}
	return encode(msg)
}

// Unmarshal implements drpc.Encoding.
func (c codec) Unmarshal(buf []byte, msg drpc.Message) error {
	err := decode(buf, msg)
	if err != nil && c.report != nil {
		c.report(err)
	}
	return err
}

// encoded is a message in encoded form. It is encoded once, however many hosts it is
// sent to.
type encoded struct {
	once sync.Once
	data []byte
	err  error
}

// get returns the encoded message and encodes it at the first call.
func (e *encoded) get(encode func() ([]byte, error)) ([]byte, error) {
	e.once.Do(func() { e.data, e.err = encode() })
	return e.data, e.err
}

// encode encodes the response, compressed if it is long and the other host reads that.
func (a *SyncResponse) encode() ([]byte, error) {
	data, err := encode(a)
	if err != nil || !a.Compress || len(data) < compressAbove {
		return data, err
	}
	return compress(data)
}

// encode encodes a message as JSON.
func encode(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a message to another host")
	}
	return data, nil
}

// compress returns the compressed message, which begins with compressed.
func compress(data []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressed})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress a message to another host")
	}
	return out.Bytes(), nil
}

// decode decodes and checks a message. Errors are of kind BadMessage.
func decode(buf []byte, msg drpc.Message) error {
	if len(buf) > 0 && buf[0] == compressed {
		var err error
		if buf, err = decompress(buf[1:]); err != nil {
			return err
		}
	}
	if err := json.Unmarshal(buf, msg); err != nil {
		return fault.Wrap(fault.BadMessage, err, "decode a message of another host")
	}
	if m, ok := msg.(message); ok {
		return m.validate()
	}
	return nil
}

// decompress returns the decompressed bytes, of which there may be maxResponseBytes.
func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxResponseBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.BadMessage, err, "decompress a message of another host")
	}
	if len(out) > maxResponseBytes {
		return nil, fault.New(fault.BadMessage, "a message of another host exceeds its limit")
	}
	return out, nil
}
