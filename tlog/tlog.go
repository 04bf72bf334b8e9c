// Package tlog declares the interfaces to the platform's log service and host list,
// and implements them over HTTP. No other package knows the wire format.
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
	Time   time.Time // when the record was appended, by the log's clock
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
// certainly not appended, and of kind InDoubt if it may have been appended or may
// still be appended later.
//
// Read returns the records starting at offset from. If there is none yet, it waits
// for one for up to wait and then returns an empty batch. It returns a
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

// HostList is the platform's list of live and leaving hosts. The list may be out
// of date.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
