package quota

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// minRetryMs is the minimum of Grant.RetryMs for a refused request, in milliseconds; the maximum is the window.
	minRetryMs = 5
	// forgetWindows is the number of windows after which the bucket of a removed tenant is deleted. After one window a tenant
	// may be added again with a full bucket; the second covers clock differences.
	forgetWindows = 2
)

// Role is the role of a control node in the chain at one moment.
type Role struct {
	// Counting reports whether this process is the tail and holds an unexpired lease from a majority of the voters. Only then
	// may it grant from the main buckets.
	Counting bool
	// View is the number of the newest view that this process knows.
	View uint64
	// Voter reports whether this control node is a voter of that view, and Voters is the number of voters.
	Voter  bool
	Voters int
}

// TokenRequest is a gateway's request for Count tokens of a tenant, one for each client request.
type TokenRequest struct {
	Tenant string
	Count  int
}

// Grant is the response to a TokenRequest. RetryMs is the time in milliseconds after which a retry may succeed; 0 if all tokens
// were granted.
type Grant struct {
	Tenant  string
	Granted int
	RetryMs int64
	// Unlimited reports that the tenant is declared without a limit.
	Unlimited bool
}

// Ledger accounts for the tokens that one control node grants. It is not safe for concurrent use. All times are those of the
// process's clock, in microseconds.
//
// Invariants; W is the window, r the rate, and warm-up is the first window after a reset of the main buckets:
//
//  1. The main buckets of all processes together act as one token bucket for each tenant, of the depth Options.depth.
//     a. No two processes count at the same time: Role.Counting is chain.Node.IsTailReady.
//     b. A process keeps its main buckets only if it counts again in the same view or in the next one; otherwise it resets
//     them. This needs more than that no two tails exist at once: while a lease of view v holds, no view with another
//     tail is decided.
//     c. No such view is decided since a voter that granted the lease accepts no such view until its grant has ended (chain:
//     leaseGuardEndUs), a voter that has accepted such a view grants nothing more (acceptedEndsLease), a voter that
//     restarts waits for the length of a lease, and a change of voters that leaves no common voter waits as well
//     (endsTailLease, guardCarriedLease).
//     d. So a process that counts again in view v, after any expiry, release or pause, knows that no process counted in a
//     later view in the meantime. A process that is the tail of views v and v+1 knows this of both views.
//     e. After releaseLease the tail does not count until a majority has granted the lease anew.
//     f. Nobody waits for a tail whose process is known to have ended (superseded): its buckets ended with the process.
//     g. The explored model of the chain checks exactly these clauses (TestInvariantsHoldInEveryInterleaving,
//     TestInvariantsHoldOnRandomWalksThroughViewChanges).
//  2. Main buckets that are reset at time t are reset after the last grant of the process that counted before, as its lease
//     has ended.
//     a. Until t + W they grant at most r*(now - t). The previous process granted at most depth + r*x in the time x before t,
//     so any window has at most depth + r*W.
//     b. From t + W on, no window contains grants of another process, and the bucket is in the state that it would have if it
//     had been full at t.
//  3. The reserves of all processes sum to at most reserveShare of the allowance in any window.
//     a. There is one reserve for each voter and one for each tolerated loss. A process has none in its first window, as an
//     earlier process of its member may have used one just before.
//     b. Each reserve is bounded over any window, as a slidingWindow counts a grant for at least one window.
//     c. A counting tail may use its own reserve during warm-up. It is one of the voters, so the sum is unchanged.
//  4. A change of the limit takes effect immediately.
//     a. The bucket is refilled at the old rate up to the change.
//     b. A smaller depth removes the tokens above it. A larger depth adds the difference at once, unless there was a change
//     within the last window, so that alternating limits create no tokens.
//     c. A removed tenant is granted nothing. Its bucket is kept, without refill, until no window can contain a grant to the
//     tenant.
type Ledger struct {
	opts Options
	// slotUs is the slot length of every slidingWindow, in microseconds.
	slotUs    int64
	startedUs int64
	nowUs     int64
	buckets   map[string]*tenantBucket
	role      Role
	// maxVoters is the largest number of voters of any view that this process has seen.
	maxVoters int
	// hasCounted reports whether this process has counted, and countedView is the view in which it last did.
	// bucketsResetUs is the time of the last reset of the main buckets.
	hasCounted     bool
	countedView    uint64
	bucketsResetUs int64
	// nextForgetUs is the earliest time at which the bucket of a removed tenant may be deleted; 0 if there is none.
	nextForgetUs int64
}

// NewLedger returns the ledger of a process that starts at nowUs.
func NewLedger(opts Options, nowUs int64) *Ledger {
	opts = opts.withDefaults()
	return &Ledger{
		opts: opts, slotUs: (opts.WindowUs + windowSlots - 1) / windowSlots,
		startedUs: nowUs, nowUs: nowUs, buckets: map[string]*tenantBucket{},
	}
}

// SetLimits replaces the limits in force. Tenants that are missing from limits are removed.
func (l *Ledger) SetLimits(nowUs int64, limits []Limit) {
	l.advance(nowUs)
	declared := make(map[string]bool, len(limits))
	for _, limit := range limits {
		declared[limit.Tenant] = true
		l.declare(limit)
	}
	for name, b := range l.buckets {
		if !declared[name] && b.declared {
			b.refill(l.nowUs, l.opts.depth(b.limit))
			b.declared, b.removedUs = false, l.nowUs
			l.scheduleForget(l.nowUs + forgetWindows*l.opts.WindowUs)
		}
	}
}

// SetRole records the current role of this control node. It is called at every step, so that main buckets that are reset refill
// from that time on.
func (l *Ledger) SetRole(nowUs int64, role Role) {
	l.advance(nowUs)
	l.role = role
	l.maxVoters = max(l.maxVoters, role.Voters)
	if !role.Counting {
		return
	}
	if !l.hasCounted || (role.View != l.countedView && role.View != l.countedView+1) {
		l.resetBuckets()
	}
	l.hasCounted, l.countedView = true, role.View
}

// Take grants or refuses token requests according to the role set last. tailUnreachable reports that the gateway gets no
// response from the tail; if it is false, only the tail grants tokens.
func (l *Ledger) Take(nowUs int64, tailUnreachable bool, requests []TokenRequest) []Grant {
	l.advance(nowUs)
	grants := make([]Grant, 0, len(requests))
	for _, request := range requests {
		grants = append(grants, l.take(request, tailUnreachable))
	}
	return grants
}

func (l *Ledger) take(request TokenRequest, tailUnreachable bool) Grant {
	b := l.buckets[request.Tenant]
	count := int64(max(0, request.Count))
	if b == nil || !b.declared {
		return Grant{Tenant: request.Tenant, RetryMs: l.windowMs()}
	}
	if b.limit.isNone() {
		return l.takeUnlimited(b, count)
	}
	granted := int64(0)
	if l.role.Counting {
		b.refill(l.nowUs, l.opts.depth(b.limit))
		granted = b.take(count, l.isWarmingUp())
	}
	if l.usesReserve(tailUnreachable) {
		granted += l.takeReserve(b, count-granted)
	}
	b.granted.add(l.nowUs, l.slotUs, granted)
	b.refused.add(l.nowUs, l.slotUs, count-granted)
	grant := Grant{Tenant: request.Tenant, Granted: int(granted)}
	if granted < count {
		grant.RetryMs = l.retryMs(b, tailUnreachable)
	}
	return grant
}

// takeUnlimited grants all tokens to a tenant without a limit. Only the tail does so, as another control node may not know of a
// newer limit.
func (l *Ledger) takeUnlimited(b *tenantBucket, count int64) Grant {
	if !l.role.Counting {
		b.refused.add(l.nowUs, l.slotUs, count)
		return Grant{Tenant: b.limit.Tenant, RetryMs: minRetryMs}
	}
	b.granted.add(l.nowUs, l.slotUs, count)
	return Grant{Tenant: b.limit.Tenant, Granted: int(count), Unlimited: true}
}

// usesReserve reports whether this control node may grant from its own reserve. The tail may during warm-up; other voters may
// for gateways that do not reach the tail.
func (l *Ledger) usesReserve(tailUnreachable bool) bool {
	if !l.role.Voter || l.nowUs-l.startedUs <= l.opts.WindowUs {
		return false
	}
	if l.role.Counting {
		return l.isWarmingUp()
	}
	return tailUnreachable
}

// takeReserve grants up to count tokens from the reserve and returns how many it granted.
func (l *Ledger) takeReserve(b *tenantBucket, count int64) int64 {
	granted := max(0, min(count, l.reservePerWindow(b)-b.reserve.sum(l.nowUs, l.slotUs)))
	b.reserve.add(l.nowUs, l.slotUs, granted)
	return granted
}

// reservePerWindow returns how many tokens of a tenant this control node may grant from its reserve in a window.
func (l *Ledger) reservePerWindow(b *tenantBucket) int64 { return l.opts.reserve(b.limit, l.maxVoters) }

// retryMs estimates, in milliseconds, when a token will be available. Where the tail is another control node and the gateway
// reaches it, the estimate is the minimum, as that tail decides.
func (l *Ledger) retryMs(b *tenantBucket, tailUnreachable bool) int64 {
	waitUs := int64(0)
	switch {
	case l.role.Counting:
		wait := (1 - b.available(l.isWarmingUp())) / b.limit.RatePerSecond * float64(clock.Sec)
		waitUs = int64(min(wait, float64(l.opts.WindowUs)))
	case !tailUnreachable:
		// Another control node is the tail; the gateway asks it.
	case l.nowUs-l.startedUs <= l.opts.WindowUs:
		waitUs = l.startedUs + l.opts.WindowUs - l.nowUs
	case l.role.Voter && l.reservePerWindow(b) > 0:
		waitUs = b.reserve.oldestExpiryUs(l.slotUs) - l.nowUs
	default:
		waitUs = l.opts.WindowUs
	}
	return max(minRetryMs, min(l.windowMs(), (waitUs+clock.Ms-1)/clock.Ms))
}

// isWarmingUp reports whether the current window may still contain grants of the process that counted before.
func (l *Ledger) isWarmingUp() bool { return l.nowUs-l.bucketsResetUs <= l.opts.WindowUs }

func (l *Ledger) windowMs() int64 { return max(minRetryMs, l.opts.WindowUs/clock.Ms) }

// resetBuckets resets all main buckets; the reserves are unchanged.
func (l *Ledger) resetBuckets() {
	l.bucketsResetUs = l.nowUs
	for _, b := range l.buckets {
		b.reset(l.nowUs, l.opts.depth(b.limit))
	}
}

// advance moves the ledger's time forward to nowUs and deletes the buckets of removed tenants that no window depends on any
// more. An earlier nowUs does not move time back.
func (l *Ledger) advance(nowUs int64) {
	l.nowUs = max(l.nowUs, nowUs)
	if l.nextForgetUs == 0 || l.nowUs < l.nextForgetUs {
		return
	}
	l.nextForgetUs = 0
	for name, b := range l.buckets {
		if b.declared {
			continue
		}
		if dueUs := b.removedUs + forgetWindows*l.opts.WindowUs; l.nowUs < dueUs {
			l.scheduleForget(dueUs)
		} else {
			delete(l.buckets, name)
		}
	}
}

// scheduleForget makes advance look for deletable buckets at dueUs at the latest.
func (l *Ledger) scheduleForget(dueUs int64) {
	if l.nextForgetUs == 0 || dueUs < l.nextForgetUs {
		l.nextForgetUs = dueUs
	}
}

// declare sets the limit of one tenant and adds the tenant if it is new.
func (l *Ledger) declare(limit Limit) {
	depth := l.opts.depth(limit)
	b := l.buckets[limit.Tenant]
	if b == nil {
		b = &tenantBucket{limit: limit, declared: true, changedUs: l.nowUs}
		b.reset(l.nowUs, depth)
		l.buckets[limit.Tenant] = b
		return
	}
	oldDepth := l.opts.depth(b.limit)
	b.refill(l.nowUs, oldDepth)
	b.declared = true
	if b.limit == limit {
		return
	}
	switch {
	case l.nowUs-b.changedUs <= l.opts.WindowUs:
		// The tokens are unchanged, so that alternating limits create none (invariant 4b).
	case b.limit.isNone():
		b.tokens = depth
	case depth > oldDepth:
		b.tokens += depth - oldDepth
	}
	if !limit.isNone() {
		b.tokens, b.warmUpTokens = min(depth, b.tokens), min(depth, b.warmUpTokens)
	}
	b.limit, b.changedUs = limit, l.nowUs
}

// TenantStatus is the operator's view of one tenant at this control node: the limit, the tokens of the main bucket (at the tail
// only), the tokens granted and refused here in the last window, and the use and size of this control node's reserve. It
// contains no API key.
type TenantStatus struct {
	Tenant        string  `json:"tenant"`
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	Tokens        float64 `json:"tokens"`
	Granted       int64   `json:"granted"`
	Refused       int64   `json:"refused"`
	ReserveUsed   int64   `json:"reserveUsed"`
	Reserve       int64   `json:"reserve"`
}

// Status returns the status of all declared tenants, sorted by name.
func (l *Ledger) Status(nowUs int64) []TenantStatus {
	l.advance(nowUs)
	rows := []TenantStatus{}
	for _, name := range slices.Sorted(maps.Keys(l.buckets)) {
		b := l.buckets[name]
		if !b.declared {
			continue
		}
		row := TenantStatus{
			Tenant: name, RatePerSecond: b.limit.RatePerSecond, Burst: b.limit.Burst,
			Granted: b.granted.sum(l.nowUs, l.slotUs), Refused: b.refused.sum(l.nowUs, l.slotUs),
			ReserveUsed: b.reserve.sum(l.nowUs, l.slotUs),
		}
		if !b.limit.isNone() {
			if l.role.Counting {
				b.refill(l.nowUs, l.opts.depth(b.limit))
				row.Tokens = b.available(l.isWarmingUp())
			}
			if l.role.Voter {
				row.Reserve = l.reservePerWindow(b)
			}
		}
		rows = append(rows, row)
	}
	return rows
}
