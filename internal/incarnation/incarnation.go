// Package incarnation identifies one run of a process.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes is the size of an id before it is encoded.
const idBytes = 6

// NewID returns a random id for this run of the process, in hexadecimal digits.
func NewID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}
