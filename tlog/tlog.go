// Package tlog declares the ports to the platform's services and holds
// the HTTP adapter. No other package knows the wire format.
package tlog

import (
	"context"
	"time"
)

// Offset is a record's position in a stream. The first record has offset 1.
type Offset uint64

// Record is one record of a stream.
type Record struct {
	Offset Offset
	Time   time.Time // when the log took the record, by the log's clock
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	First   Offset // the oldest offset still kept
	Next    Offset // the offset the next appended record will get
}

// Log is the platform's append-only log service.
//
// Append returns a *fault.Error of kind LogUnavailable only if the record was
// certainly not taken, and of kind InDoubt if it may have been taken or may
// still be taken later.
//
// Read returns the records from offset from on. When there is none yet it
// waits up to wait for one and then returns an empty batch. It returns a
// *fault.Error of kind LogGap, together with a Batch whose First is set, when
// the record at from is no longer kept.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Batch, error)
}

// HostState is a host's state in the platform's list.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the platform's host list.
type Host struct {
	Name   string    `json:"name"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. The list lags.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
