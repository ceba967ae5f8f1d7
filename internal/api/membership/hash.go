package membership

import "hash/fnv"

// SpreadHash hashes a text to a number. FNV-1a alone leaves similar texts close together; the first step of MurmurHash3's
// finalizer spreads them.
func SpreadHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
