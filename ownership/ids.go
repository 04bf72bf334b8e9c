// Package ownership decides which backend server owns each shard of a service.
//
// It is a pure state machine: no I/O, no clock and no goroutine. The caller
// passes the time and events to Machine.Step and Machine.Tick and carries out
// the actions that Machine.Ready returns. The same inputs give the same outputs.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Offset is an offset in the ownership stream.
type Offset = tlog.Offset

// Instant is a monotonic time, counted from the start of the process.
type Instant = time.Duration

// MemberID names one incarnation of an entry host: host name, "/", incarnation.
type MemberID string

// Member is one incarnation of an entry host.
type Member struct {
	ID       MemberID `json:"id"`
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	PeerAddr string   `json:"peer_addr"` // IP and port for other entry hosts
	// Started is when the process started, by its host's clock, in Unix
	// nanoseconds. It orders the processes of one host.
	Started int64 `json:"started,omitempty"`
}

// Shard is a shard's number within its service.
type Shard uint32

// ShardOf returns the shard of key among n shards.
func ShardOf(key string, n int) Shard {
	return Shard(xxhash.Sum64String(key) % uint64(n))
}

// rankBits is the width of the succession rank within a token.
const rankBits = 8

// Token is a fence token: the offset of the assignment record and the
// succession rank. Tokens of one shard only rise.
type Token uint64

// MakeToken joins a record's offset and a succession rank.
func MakeToken(offset Offset, rank int) Token {
	return Token(uint64(offset)<<rankBits | uint64(rank))
}

// Offset returns the offset of the assignment record.
func (t Token) Offset() Offset { return Offset(t >> rankBits) }

// Rank returns the succession rank; 0 is the assigned owner.
func (t Token) Rank() int { return int(t & (1<<rankBits - 1)) }
