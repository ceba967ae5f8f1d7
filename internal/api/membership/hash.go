package membership

import "hash/fnv"

// SpreadHash returns a 64-bit hash of a text. FNV-1a alone gives similar texts hashes that are close together; the first
// step of MurmurHash3's finalizer spreads them.
func SpreadHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
