// Package randomid makes names that nobody else has: of incarnations, changes, calls. Both planes use it; it holds no
// state.
package randomid

import (
	"crypto/rand"
	"encoding/hex"
)

// New returns so many random bytes in hexadecimal, two characters a byte. A system without a source of random bytes
// can't run any of the programs: it panics.
func New(bytes int) string {
	raw := make([]byte, bytes)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}
