package quota

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// minRetryMs is the least time until another try that is named, in milliseconds; the window is the longest.
	minRetryMs = 5
	// forgetWindows is after how many windows the book of a tenant that is no longer declared is forgotten. One is enough for
	// a book that comes back full; the second is for clocks.
	forgetWindows = 2
)

// Role is what a control node is at one moment.
type Role struct {
	// Counting: this process is the tail and its lease from a majority of the voters holds.
	Counting bool
	// View is the number of the newest view that this process knows.
	View uint64
	// Voter says that it votes in that view, and Voters how many do.
	Voter  bool
	Voters int
}

// Ask is a gateway's wish for tokens: one for each request.
type TokenRequest struct {
	Tenant string
	Count  int
}

// Grant is the answer to an Ask. RetryMs is after how many milliseconds another try may succeed; 0 where all was granted.
type Grant struct {
	Tenant  string
	Granted int
	RetryMs int64
	// Unlimited says that the tenant is declared without a limit.
	Unlimited bool
}

// Ledger holds a control node's books. It is not safe for concurrent use; times are those of its process's clock.
//
// Invariants:
//
//  1. The main books of all processes together are one bucket for each tenant, of the depth of Options.depth.
//     Never do two count at once: Role.Counting is chain.Node.TailReady. A process keeps its books only from a view to the same
//     or the next; else they begin anew. That rests on more than there being no two tails at once: while a lease
//     of view v holds, no view is decided that has another tail. A voter that granted it accepts none until its grant has ended
//     (chain: leaseGuardEndUs), one that has accepted one grants nothing more (acceptedEndsLease), one that restarts waits for
//     a lease's length, and a change of votes that leaves no common voter waits as well (endsTailLease, guardCarriedLease). So
//     whoever counts again in view v, after whatever lapse, release or standstill, knows that nobody counted in a later view
//     meanwhile; and a tail of v and v+1 knows it of both. After releaseLease the tail does not count until a majority has
//     granted anew. A tail whose process is known to have ended (superseded) is waited for by nobody: its books ended with
//     it. The chain's explored model checks just this (TestEveryInterleavingOfSmallChains, TestLongWalksThroughViewChanges).
//  2. Books that begin anew at t do so after the last grant of whoever counted before, as its lease has ended. Until t + W
//     they give at most r*(now - t), so with the depth + r*x that the one before gave in the x before t any window has at most
//     depth + r*W. From t + W on no window holds grants of another, and the bucket is what it would be had it been full at t.
//  3. The reserves of all processes sum to at most reserveShare of the allowance in any window: one for each voter and for each
//     tolerated loss, none in the first window of a process, whose member may have had another just before. Each
//     holds for any window, as a slidingWindow keeps what it counts for a window at least. A counting tail may use its own
//     while its books are young: it is one of the voters, so the sum stays.
//  4. A change of the limit binds at once: refilled at the old rate up to the change; a smaller depth takes the tokens above it,
//     a larger one adds the difference at once, unless there was a change within the last window, so that no to and fro of
//     limits makes tokens. A tenant that is removed gets nothing, and its book waits for it, not refilled, until no window can
//     hold a grant to it.
type Ledger struct {
	opts Options
	// slotUs is the length of a slot of every slidingWindow.
	slotUs    int64
	startedUs int64
	nowUs     int64
	books     map[string]*book
	role      Role
	// maxVoters is the most voters that this process has seen in a view.
	maxVoters int
	// hasCounted and countedView: this process counted last in that view; booksSinceUs is since when it has its books.
	hasCounted   bool
	countedView  uint64
	booksSinceUs int64
	// forgetUs is when the first book of a removed tenant is forgotten; 0 where there is none.
	forgetUs int64
}

// NewLedger is that of a process that starts now.
func NewLedger(opts Options, nowUs int64) *Ledger {
	opts = opts.withDefaults()
	return &Ledger{
		opts: opts, slotUs: (opts.WindowUs + windowSlots - 1) / windowSlots,
		startedUs: nowUs, nowUs: nowUs, books: map[string]*book{},
	}
}

// SetLimits takes the limits in force in place of those before.
func (l *Ledger) SetLimits(nowUs int64, limits []Limit) {
	l.advance(nowUs)
	declared := make(map[string]bool, len(limits))
	for _, limit := range limits {
		declared[limit.Tenant] = true
		l.declare(limit)
	}
	for name, b := range l.books {
		if !declared[name] && b.declared {
			b.refill(l.nowUs, l.opts.depth(b.limit))
			b.declared, b.removedUs = false, l.nowUs
			l.forgetBy(l.nowUs + forgetWindows*l.opts.WindowUs)
		}
	}
}

// Observe takes what this control node is now. It is called at every step, so that books that begin anew refill from then on.
func (l *Ledger) SetRole(nowUs int64, role Role) {
	l.advance(nowUs)
	l.role = role
	l.maxVoters = max(l.maxVoters, role.Voters)
	if !role.Counting {
		return
	}
	if !l.hasCounted || (role.View != l.countedView && role.View != l.countedView+1) {
		l.beginBooks()
	}
	l.hasCounted, l.countedView = true, role.View
}

// Take answers asks by what was observed at this moment. tailUnreachable says that the gateway gets no answer from the tail;
// without it only the tail grants.
func (l *Ledger) Take(nowUs int64, tailUnreachable bool, asks []TokenRequest) []Grant {
	l.advance(nowUs)
	grants := make([]Grant, 0, len(asks))
	for _, ask := range asks {
		grants = append(grants, l.take(ask, tailUnreachable))
	}
	return grants
}

func (l *Ledger) take(ask TokenRequest, tailUnreachable bool) Grant {
	b := l.books[ask.Tenant]
	count := int64(max(0, ask.Count))
	if b == nil || !b.declared {
		return Grant{Tenant: ask.Tenant, RetryMs: l.windowMs()}
	}
	if b.limit.isNone() {
		return l.takeUnlimited(b, count)
	}
	granted := int64(0)
	if l.role.Counting {
		b.refill(l.nowUs, l.opts.depth(b.limit))
		granted = b.take(count, l.isYoung())
	}
	if l.usesReserve(tailUnreachable) {
		granted += l.takeReserve(b, count-granted)
	}
	b.granted.add(l.nowUs, l.slotUs, granted)
	b.refused.add(l.nowUs, l.slotUs, count-granted)
	grant := Grant{Tenant: ask.Tenant, Granted: int(granted)}
	if granted < count {
		grant.RetryMs = l.retryMs(b, tailUnreachable)
	}
	return grant
}

// takeUnlimited grants a tenant without a limit all, at the tail alone: another control node may not know of a newer limit.
func (l *Ledger) takeUnlimited(b *book, count int64) Grant {
	if !l.role.Counting {
		b.refused.add(l.nowUs, l.slotUs, count)
		return Grant{Tenant: b.limit.Tenant, RetryMs: minRetryMs}
	}
	b.granted.add(l.nowUs, l.slotUs, count)
	return Grant{Tenant: b.limit.Tenant, Granted: int(count), Unlimited: true}
}

// usesReserve says that this control node may grant from its own reserve: beside the tail to gateways that do not reach
// it, and at the tail while its books are young.
func (l *Ledger) usesReserve(tailUnreachable bool) bool {
	if !l.role.Voter || l.nowUs-l.startedUs <= l.opts.WindowUs {
		return false
	}
	if l.role.Counting {
		return l.isYoung()
	}
	return tailUnreachable
}

func (l *Ledger) takeReserve(b *book, count int64) int64 {
	granted := max(0, min(count, l.reserveOf(b)-b.reserve.sum(l.nowUs, l.slotUs)))
	b.reserve.add(l.nowUs, l.slotUs, granted)
	return granted
}

// reserveOf is what this control node may grant a tenant by itself in a window.
func (l *Ledger) reserveOf(b *book) int64 { return l.opts.reserve(b.limit, l.maxVoters) }

// retryMs is when a token can be had from what was asked, as far as that can be told.
func (l *Ledger) retryMs(b *book, tailUnreachable bool) int64 {
	waitUs := int64(0)
	switch {
	case l.role.Counting:
		wait := (1 - b.available(l.isYoung())) / b.limit.RatePerSecond * float64(clock.Sec)
		waitUs = int64(min(wait, float64(l.opts.WindowUs)))
	case !tailUnreachable:
		// The tail is elsewhere.
	case l.nowUs-l.startedUs <= l.opts.WindowUs:
		waitUs = l.startedUs + l.opts.WindowUs - l.nowUs
	case l.role.Voter && l.reserveOf(b) > 0:
		waitUs = b.reserve.oldestLeavesUs(l.slotUs) - l.nowUs
	default:
		waitUs = l.opts.WindowUs
	}
	return max(minRetryMs, min(l.windowMs(), (waitUs+clock.Ms-1)/clock.Ms))
}

// isYoung says that a window may still hold grants of whoever counted before.
func (l *Ledger) isYoung() bool { return l.nowUs-l.booksSinceUs <= l.opts.WindowUs }

func (l *Ledger) windowMs() int64 { return max(minRetryMs, l.opts.WindowUs/clock.Ms) }

// beginBooks begins all main books anew; the reserves go on.
func (l *Ledger) beginBooks() {
	l.booksSinceUs = l.nowUs
	for _, b := range l.books {
		b.empty(l.nowUs, l.opts.depth(b.limit))
	}
}

// advance takes the time of a call and forgets the books that nothing depends on any more. Time does not go back.
func (l *Ledger) advance(nowUs int64) {
	l.nowUs = max(l.nowUs, nowUs)
	if l.forgetUs == 0 || l.nowUs < l.forgetUs {
		return
	}
	l.forgetUs = 0
	for name, b := range l.books {
		if b.declared {
			continue
		}
		if dueUs := b.removedUs + forgetWindows*l.opts.WindowUs; l.nowUs < dueUs {
			l.forgetBy(dueUs)
		} else {
			delete(l.books, name)
		}
	}
}

// forgetBy looks for books to forget at this time at the latest.
func (l *Ledger) forgetBy(dueUs int64) {
	if l.forgetUs == 0 || dueUs < l.forgetUs {
		l.forgetUs = dueUs
	}
}

// declare takes one tenant's limit.
func (l *Ledger) declare(limit Limit) {
	depth := l.opts.depth(limit)
	b := l.books[limit.Tenant]
	if b == nil {
		b = &book{limit: limit, declared: true, changedUs: l.nowUs}
		b.empty(l.nowUs, depth)
		l.books[limit.Tenant] = b
		return
	}
	had := l.opts.depth(b.limit)
	b.refill(l.nowUs, had)
	b.declared = true
	if b.limit == limit {
		return
	}
	switch {
	case l.nowUs-b.changedUs <= l.opts.WindowUs:
		// It keeps what it has.
	case b.limit.isNone():
		b.tokens = depth
	case depth > had:
		b.tokens += depth - had
	}
	if !limit.isNone() {
		b.tokens, b.youngTokens = min(depth, b.tokens), min(depth, b.youngTokens)
	}
	b.limit, b.changedUs = limit, l.nowUs
}

// TenantStatus is what an operator sees of one tenant: its limit, the tokens of the main book where it is kept here, what
// was granted and refused here in the last window, and what of this control node's reserve is used. It holds no key.
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

// Status are the tenants in force, by name.
func (l *Ledger) Status(nowUs int64) []TenantStatus {
	l.advance(nowUs)
	rows := []TenantStatus{}
	for _, name := range slices.Sorted(maps.Keys(l.books)) {
		b := l.books[name]
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
				row.Tokens = b.available(l.isYoung())
			}
			if l.role.Voter {
				row.Reserve = l.reserveOf(b)
			}
		}
		rows = append(rows, row)
	}
	return rows
}
