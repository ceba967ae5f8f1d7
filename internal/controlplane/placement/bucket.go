package placement

import "petreltide/internal/api/configuration"

// usableRateFraction is the fraction of the store's rate at which the bucket refills; the rest is a safety margin.
const usableRateFraction = 0.98

// Bucket is a token bucket, in MB, that limits loads to the weight store's rate. It starts empty after a takeover
// or a gap. A load command that may still reach its replica reduces the burst by its size until the load is confirmed.
type Bucket struct {
	TokensMb float64 `json:"tokensMb"`
	atUs     int64
}

// Fill adds the tokens accrued since the last call, up to the burst size minus the MB of unconfirmed loads.
func (b *Bucket) Fill(nowUs int64, store configuration.Store, unconfirmedMb int64) {
	if b.atUs != 0 && nowUs > b.atUs {
		b.TokensMb += float64(nowUs-b.atUs) / 1e6 * float64(store.MBPerSecond) * usableRateFraction
	}
	b.TokensMb = min(b.TokensMb, float64(store.BurstMB-unconfirmedMb))
	b.atUs = nowUs
}

// Reset empties the bucket and forgets the time of the last Fill.
func (b *Bucket) Reset() { *b = Bucket{} }

// Spend removes tokens for a load of the given size in MB.
func (b *Bucket) Spend(mb int64) { b.TokensMb -= float64(mb) }
