// Package randomid generates unique random IDs, for example of incarnations, changes and calls. Both the control plane and
// the data plane use it; it holds no state.
package randomid

import (
	"crypto/rand"
	"encoding/hex"
)

// New returns the given number of random bytes in hexadecimal, two characters per byte. It panics if the system has no source
// of random bytes, as none of the programs can run without one.
func New(bytes int) string {
	raw := make([]byte, bytes)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}
