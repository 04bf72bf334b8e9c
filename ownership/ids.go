// Package ownership decides which backend server owns each shard of a service.
//
// It is a deterministic state machine without I/O, clocks or goroutines. The caller
// passes the time, log records and peer messages to the methods of Machine and
// carries out the actions that Machine.Ready returns.
//
// Every host applies the records of the ownership stream, a totally ordered log,
// and so computes the same State. An applied record comes into force once a
// majority of the members has acknowledged it and no request or grant that it
// conflicts with can still be outstanding. A host routes requests only under a
// lease that a majority confirms (Confirm). When two members agree that a backend
// server is lost, a Flag lets the first remaining successor take over without a
// write to the log.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Offset is an offset in the ownership stream.
type Offset = tlog.Offset

// Instant is a monotonic time, measured from the start of the process.
type Instant = time.Duration

// MemberID identifies one incarnation of an entry host: host name, "/", incarnation.
type MemberID string

// Member describes one incarnation of an entry host.
type Member struct {
	ID       MemberID `json:"id"`
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	PeerAddr string   `json:"peer_addr"` // IP and port for other entry hosts
	// Started is the start time of the process by its host's clock, in Unix
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

// Token is a fencing token: the offset of the assignment record and the
// succession rank. The tokens of a shard only increase.
type Token uint64

// MakeToken combines a record's offset and a succession rank.
func MakeToken(offset Offset, rank int) Token {
	return Token(uint64(offset)<<rankBits | uint64(rank))
}

// Offset returns the offset of the assignment record.
func (t Token) Offset() Offset { return Offset(t >> rankBits) }

// Rank returns the succession rank; 0 is the assigned owner.
func (t Token) Rank() int { return int(t & (1<<rankBits - 1)) }
