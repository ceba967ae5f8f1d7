package placement

import "petreltide/internal/api/configuration"

// usableRateFraction is the part of the store's rate that is used; the rest is a margin.
const usableRateFraction = 0.98

// Bucket is the weight store's rate. It starts empty after a takeover or a gap. An order that
// may still reach its replica at any time keeps its size out of the burst until it is confirmed.
type Bucket struct {
	TokensMb float64 `json:"tokensMb"`
	atUs     int64
}

// Fill adds the rate since the last call, up to the burst less what is unconfirmed in MB.
func (b *Bucket) Fill(nowUs int64, store configuration.Store, unconfirmedMb int64) {
	if b.atUs != 0 && nowUs > b.atUs {
		b.TokensMb += float64(nowUs-b.atUs) / 1e6 * float64(store.MBPerSecond) * usableRateFraction
	}
	b.TokensMb = min(b.TokensMb, float64(store.BurstMB-unconfirmedMb))
	b.atUs = nowUs
}

// Reset starts the bucket anew with nothing in it.
func (b *Bucket) Reset() { *b = Bucket{} }

// Spend takes a load's size in MB out of the bucket.
func (b *Bucket) Spend(mb int64) { b.TokensMb -= float64(mb) }
