package quota

import (
	"math"

	"petreltide/internal/process/clock"
)

// Limit is a tenant's limit as it is declared.
type Limit struct {
	// Tenant is the tenant's name.
	Tenant string
	// RatePerSecond and Burst are its requests a second and those beyond; a rate of 0 is no limit.
	RatePerSecond, Burst float64
}

// isNone says that there is no limit.
func (l Limit) isNone() bool { return l.RatePerSecond <= 0 }

// rounding is what sums of fractions may miss a whole token by.
const roundingTolerance = 1e-9

// book is what is counted of one tenant. Its tokens are the main book's, reserve is this control node's own.
type tenantBucket struct {
	limit    Limit
	declared bool
	// tokens are what the bucket holds as of refilledUs, and warmUpTokens what one holds that was empty as this control
	// node's books began: while those are young, both must have a token.
	tokens, warmUpTokens float64
	refilledUs           int64
	// changedUs is when the limit was last changed, and removedUs when the tenant was last removed.
	changedUs, removedUs int64

	granted, refused, reserve slidingWindow
}

// refill adds what the limit gives up to now. Nothing is added while the tenant is not declared.
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

// available is what may be granted at once; young says that the books are.
func (b *tenantBucket) available(young bool) float64 {
	if young {
		return min(b.tokens, b.warmUpTokens)
	}
	return b.tokens
}

// take grants up to count from the main book.
func (b *tenantBucket) take(count int64, young bool) int64 {
	granted := int64(max(0, min(float64(count), math.Floor(b.available(young)+roundingTolerance))))
	b.tokens, b.warmUpTokens = b.tokens-float64(granted), max(0, b.warmUpTokens-float64(granted))
	return granted
}

// empty begins the main book anew: somebody else may have granted up to now.
func (b *tenantBucket) reset(nowUs int64, depth float64) {
	b.tokens, b.warmUpTokens, b.refilledUs = depth, 0, nowUs
}
