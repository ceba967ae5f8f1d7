package quota

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

const (
	// tailTimeoutUs is how long the tail's answer is waited for, in microseconds, and reserveTimeoutUs that of another voter.
	tailTimeoutUs    = 150 * clock.Ms
	reserveTimeoutUs = 110 * clock.Ms
	// maxDecisionUs is the longest that a request waits for its decision: the tail's time and that of two voters.
	maxDecisionUs = 400 * clock.Ms
	// downUs is how long a control node is not asked that gave no answer, or that is no tail though the view says so.
	downUs = 250 * clock.Ms
	// minUnansweredRetryMs and maxUnansweredRetryMs bound when a client is told to come back whose request nobody could decide.
	minUnansweredRetryMs = downUs / clock.Ms
	maxUnansweredRetryMs = 3000
	// maxReserveAsks is how many voters beside the tail are asked for one request, and maxAsks how many in all.
	maxReserveAsks = 2
	maxAsks        = maxReserveAsks + 2
	// maxMemoryUs is the longest that a tenant's requests are refused without asking.
	maxMemoryUs = 1 * clock.Sec
	// maxWaiting bounds the requests without a decision, and maxRemembered the tenants whose refusal is remembered.
	maxWaiting    = 8192
	maxRemembered = 4096
)

// Client is the reducer that asks for one gateway. It is not safe for concurrent use.
type Client struct {
	gateway string
	nowUs   int64
	view    membership.View
	// voters are the addresses of the view's voters, in this gateway's own order.
	voters []string
	// requests are those without a decision, by ID; waiting are those of them that no ask carries, oldest first.
	requests map[string]*request
	waiting  []*request
	// asks are those under way, by number, and asking their addresses.
	asks    map[uint64]*ask
	asking  map[string]bool
	lastAsk uint64
	// downUntilUs is until when an address is not asked.
	downUntilUs map[string]int64
	refusals    map[string]refusal
	// tailAnsweredUs is when a control node that counts last answered; 0 before the first.
	tailAnsweredUs int64
	// expiryUs is when the next request or ask runs out of time; 0 is never.
	expiryUs int64
	counters Counters
	tenants  map[string]*TenantCounters
	effects  []Effect
}

// request is one that has no decision yet. One that was cancelled, or decided for want of time, while an ask carries it stays
// in that ask as decided.
type request struct {
	id, tenant string
	limit      Limit
	untilUs    int64
	decided    bool
	asks       int
	// voters are those beside the tail that were asked for it.
	voters []string
}

// ask is one question under way.
type ask struct {
	number   uint64
	addr     string
	tail     bool
	untilUs  int64
	requests []*request
}

// refusal is what was last said of a tenant with this limit: that it is over it, or, without an answer of the tail, that no
// voter has anything left for it. It holds until untilUs, the latter only while the tail is down.
type refusal struct {
	limit   Limit
	verdict Verdict
	untilUs int64
}

// New is a client that knows no control node yet.
func NewClient(gateway string) *Client {
	return &Client{
		gateway: gateway, requests: map[string]*request{}, asks: map[uint64]*ask{}, asking: map[string]bool{},
		downUntilUs: map[string]int64{}, refusals: map[string]refusal{}, tenants: map[string]*TenantCounters{},
	}
}

// Step takes one event at nowUs, in microseconds of this process's clock, and returns what is to be done, in order.
func (c *Client) Step(nowUs int64, ev Event) []Effect {
	c.nowUs, c.effects = nowUs, nil
	switch ev := ev.(type) {
	case RequestArrived:
		c.requested(ev)
	case RequestCanceled:
		if r := c.requests[ev.ID]; r != nil {
			c.drop(r)
		}
	case ResponseReceived:
		c.answered(ev)
	case QueryFailed:
		c.failed(ev.Query)
	case ViewReceived:
		c.adopt(ev.View)
	case Tick:
		c.forget()
	}
	c.expire()
	c.dispatch()
	return c.effects
}

func (c *Client) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Client) requested(ev RequestArrived) {
	r := &request{id: ev.ID, tenant: ev.Tenant, limit: ev.Limit, untilUs: c.nowUs + min(maxDecisionUs, max(0, ev.MaxWaitUs))}
	if m, known := c.refusals[r.tenant]; known && m.limit == r.limit && c.nowUs < m.untilUs && (m.verdict == OverLimit || !c.tailAnswers()) {
		c.counters.FromMemory++
		retryMs := ceilMs(m.untilUs - c.nowUs)
		if m.verdict == Unanswered {
			retryMs = c.unansweredRetryMs()
		}
		c.decide(r, m.verdict, retryMs)
		return
	}
	if len(c.requests) >= maxWaiting {
		c.decide(r, Unanswered, c.unansweredRetryMs())
		return
	}
	c.requests[r.id] = r
	c.waiting = append(c.waiting, r)
	c.expireBy(r.untilUs)
}

// unansweredRetryMs is when a client is told to come back whose request nobody could decide: what has lasted for a while lasts
// about as long again.
func (c *Client) unansweredRetryMs() int64 {
	if c.tailAnsweredUs == 0 {
		return minUnansweredRetryMs
	}
	return min(maxUnansweredRetryMs, max(minUnansweredRetryMs, ceilMs(c.nowUs-c.tailAnsweredUs)))
}

func ceilMs(us int64) int64 { return (us + clock.Ms - 1) / clock.Ms }

// decide ends a request; whatever carries it still only passes its token on.
func (c *Client) decide(r *request, v Verdict, retryMs int64) {
	c.drop(r)
	c.count(r.tenant, v)
	c.emit(Decision{ID: r.id, Verdict: v, RetryMs: retryMs})
}

func (c *Client) drop(r *request) {
	r.decided = true
	delete(c.requests, r.id)
}

// adopt takes up a view if it is newer. Whoever was down before it may be asked, and what another tail refused is void.
func (c *Client) adopt(v membership.View) {
	if v.Number <= c.view.Number && len(c.voters) > 0 || !v.IsValid() || len(v.Voters) == 0 {
		return
	}
	if v.Tail() != c.view.Tail() {
		clear(c.refusals)
	}
	c.view = v
	clear(c.downUntilUs)
	c.voters = c.voters[:0]
	for _, m := range v.Voters {
		c.voters = append(c.voters, m.Addr)
	}
	slices.SortFunc(c.voters, func(a, b string) int { return cmp.Or(cmp.Compare(c.rank(a), c.rank(b)), cmp.Compare(a, b)) })
}

// rank orders control nodes otherwise at each gateway, so that all reserves are used.
func (c *Client) rank(addr string) uint64 {
	return membership.SpreadHash(c.gateway + "|" + addr)
}

// tailAnswers: a tail is known and, as far as this gateway knows, answers.
func (c *Client) tailAnswers() bool {
	tail := c.view.Tail().Addr
	return tail != "" && !c.isDown(tail)
}

// dispatch asks for all that waits: the tail, if it answers, or else the next voter of each request.
func (c *Client) dispatch() {
	tail := c.view.Tail().Addr
	if len(c.waiting) == 0 || c.tailAnswers() && c.asking[tail] {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.decided })
	if c.tailAnswers() {
		if len(c.waiting) > 0 {
			c.ask(tail, true, c.waiting)
			c.waiting = nil
		}
		return
	}
	c.askVoters()
}

// askVoters asks for each request the next voter beside the tail; what waits for one that is being asked stays.
func (c *Client) askVoters() {
	batches, left := map[string][]*request{}, []*request(nil)
	for _, r := range c.waiting {
		switch addr := c.nextVoter(r); {
		case addr == "":
			c.remember(r, Unanswered, minUnansweredRetryMs)
			c.decide(r, Unanswered, c.unansweredRetryMs())
		case c.asking[addr]:
			left = append(left, r)
		default:
			batches[addr] = append(batches[addr], r)
		}
	}
	c.waiting = left
	for _, addr := range slices.Sorted(maps.Keys(batches)) {
		c.ask(addr, false, batches[addr])
	}
}

// nextVoter is whom to ask for a request beside the tail; empty where nobody is left.
func (c *Client) nextVoter(r *request) string {
	if len(r.voters) >= maxReserveAsks || r.asks >= maxAsks {
		return ""
	}
	for _, addr := range c.voters {
		if addr != c.view.Tail().Addr && !c.isDown(addr) && !slices.Contains(r.voters, addr) {
			return addr
		}
	}
	return ""
}

func (c *Client) isDown(addr string) bool { return c.nowUs < c.downUntilUs[addr] }

func (c *Client) ask(addr string, tail bool, requests []*request) {
	c.lastAsk++
	timeoutUs := reserveTimeoutUs
	if tail {
		timeoutUs = tailTimeoutUs
	}
	a := &ask{number: c.lastAsk, addr: addr, tail: tail, untilUs: c.nowUs + timeoutUs, requests: requests}
	for _, r := range requests {
		r.asks++
		if !tail {
			r.voters = append(r.voters, addr)
		}
	}
	c.asks[a.number], c.asking[addr] = a, true
	c.expireBy(a.untilUs)
	c.counters.Queries++
	c.emit(Query{Number: a.number, Addr: addr, TimeoutUs: timeoutUs, Request: &wire.QuotaRequest{Gateway: c.gateway, TailUnreachable: !tail, Asks: countByTenant(requests)}})
}

// countByTenant sums requests up, in the order of their tenants.
func countByTenant(requests []*request) []wire.QuotaAsk {
	counts := map[string]int{}
	for _, r := range requests {
		counts[r.tenant]++
	}
	asks := []wire.QuotaAsk{}
	for _, tenant := range slices.Sorted(maps.Keys(counts)) {
		asks = append(asks, wire.QuotaAsk{Tenant: tenant, Count: counts[tenant]})
	}
	return asks
}

// end takes an ask out of those under way; nil where it has ended.
func (c *Client) end(number uint64) *ask {
	a := c.asks[number]
	if a != nil {
		delete(c.asks, number)
		delete(c.asking, a.addr)
	}
	return a
}

func (c *Client) answered(ev ResponseReceived) {
	a := c.end(ev.Query)
	if a == nil {
		// Its time was over, and its requests have gone on: what it grants now is nobody's.
		return
	}
	if ev.Response.Counting {
		c.tailAnsweredUs = c.nowUs
	}
	if a.tail && !ev.Response.Counting {
		c.downUntilUs[a.addr] = c.nowUs + downUs
	}
	c.adopt(ev.Response.View)
	grants := map[string]wire.QuotaGrant{}
	for _, g := range ev.Response.Grants {
		grants[g.Tenant] = g
	}
	back := []*request{}
	for _, r := range a.requests {
		g := grants[r.tenant]
		switch {
		case r.decided:
			// Its token goes to the next one.
		case g.Unlimited:
			c.decide(r, Admitted, 0)
		case g.Granted > 0:
			g.Granted--
			grants[r.tenant] = g
			if !ev.Response.Counting {
				c.counters.FromReserve++
			}
			c.decide(r, Admitted, 0)
		case ev.Response.Counting:
			c.remember(r, OverLimit, max(1, g.RetryMs))
			c.decide(r, OverLimit, max(1, g.RetryMs))
		default:
			back = append(back, r)
		}
	}
	c.waiting = append(back, c.waiting...)
}

// remember lets the next requests of a tenant be refused without asking.
func (c *Client) remember(r *request, v Verdict, retryMs int64) {
	if _, known := c.refusals[r.tenant]; known || len(c.refusals) < maxRemembered {
		c.refusals[r.tenant] = refusal{limit: r.limit, verdict: v, untilUs: c.nowUs + min(maxMemoryUs, retryMs*clock.Ms)}
	}
}

// failed leaves a control node alone that gave no answer; its requests go on to others.
func (c *Client) failed(number uint64) {
	a := c.end(number)
	if a == nil {
		return
	}
	c.counters.FailedQueries++
	c.downUntilUs[a.addr] = c.nowUs + downUs
	c.waiting = append(a.requests, c.waiting...)
}

// expireBy looks at what runs out of time at this instant at the latest.
func (c *Client) expireBy(us int64) {
	if c.expiryUs == 0 || us < c.expiryUs {
		c.expiryUs = us
	}
}

// expire ends the asks and the requests whose time is over.
func (c *Client) expire() {
	if c.expiryUs == 0 || c.nowUs < c.expiryUs {
		return
	}
	c.expiryUs = 0
	for _, number := range slices.Sorted(maps.Keys(c.asks)) {
		if a := c.asks[number]; c.nowUs >= a.untilUs {
			c.failed(number)
		} else {
			c.expireBy(a.untilUs)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; c.nowUs >= r.untilUs {
			c.decide(r, Unanswered, c.unansweredRetryMs())
		} else {
			c.expireBy(r.untilUs)
		}
	}
}

// forget drops refusals and marks whose time is over.
func (c *Client) forget() {
	maps.DeleteFunc(c.refusals, func(_ string, m refusal) bool { return c.nowUs >= m.untilUs })
	maps.DeleteFunc(c.downUntilUs, func(_ string, untilUs int64) bool { return c.nowUs >= untilUs })
}
