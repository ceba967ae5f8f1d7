package quota

import (
	"math"

	"petreltide/internal/process/clock"
)

// Limit is the declared request rate limit of one tenant.
type Limit struct {
	Tenant string
	// RatePerSecond is the sustained rate in requests per second; 0 means unlimited. Burst is the number of requests that may
	// be passed beyond that rate.
	RatePerSecond, Burst float64
}

// isNone reports whether the tenant is unlimited.
func (l Limit) isNone() bool { return l.RatePerSecond <= 0 }

// roundingTolerance is the floating-point error by which a sum of fractions may miss a whole token.
const roundingTolerance = 1e-9

// tenantBucket is the accounting of one tenant at this control node: its main bucket, used while this control node is the
// tail, and the use of this control node's own reserve.
type tenantBucket struct {
	limit    Limit
	declared bool
	// tokens is the content of the main bucket as of refilledUs. warmUpTokens is the content of a second bucket that was empty
	// when the main buckets of this control node were reset: during warm-up, a grant needs a token in both.
	tokens, warmUpTokens float64
	refilledUs           int64
	// changedUs is the time of the last change of the limit, and removedUs that of the tenant's last removal.
	changedUs, removedUs int64

	// granted and refused count all tokens granted and refused here; reserve counts those granted from the reserve.
	granted, refused, reserve slidingWindow
}

// refill adds the tokens accrued since the last refill, up to depth. An undeclared tenant accrues none.
func (b *tenantBucket) refill(nowUs int64, depth float64) {
	elapsedUs := nowUs - b.refilledUs
	if elapsedUs <= 0 {
		return
	}
	b.refilledUs = nowUs
	if !b.declared || b.limit.isNone() {
		return
	}
	fresh := b.limit.RatePerSecond * float64(elapsedUs) / float64(clock.Sec)
	b.tokens, b.warmUpTokens = min(depth, b.tokens+fresh), min(depth, b.warmUpTokens+fresh)
}

// available returns how many tokens may be granted now.
func (b *tenantBucket) available(isWarmingUp bool) float64 {
	if isWarmingUp {
		return min(b.tokens, b.warmUpTokens)
	}
	return b.tokens
}

// take removes up to count whole tokens from the main bucket and returns how many it removed.
func (b *tenantBucket) take(count int64, isWarmingUp bool) int64 {
	granted := int64(max(0, min(float64(count), math.Floor(b.available(isWarmingUp)+roundingTolerance))))
	b.tokens, b.warmUpTokens = b.tokens-float64(granted), max(0, b.warmUpTokens-float64(granted))
	return granted
}

// reset makes the main bucket full and its warm-up bucket empty: another control node may have granted tokens up to nowUs.
func (b *tenantBucket) reset(nowUs int64, depth float64) {
	b.tokens, b.warmUpTokens, b.refilledUs = depth, 0, nowUs
}
