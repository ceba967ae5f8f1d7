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
	// tailTimeoutUs is the timeout of a query to the tail, and reserveTimeoutUs that of a query to another voter, in
	// microseconds.
	tailTimeoutUs    = 150 * clock.Ms
	reserveTimeoutUs = 110 * clock.Ms
	// maxDecisionUs is the maximum time that a request waits for its decision. It covers the timeouts of the tail and of two
	// voters.
	maxDecisionUs = 400 * clock.Ms
	// downUs is how long a control node is not queried after it failed to respond, or after it responded that it is not the
	// counting tail although the view says so.
	downUs = 250 * clock.Ms
	// minUnansweredRetryMs and maxUnansweredRetryMs bound the retry time of unanswered requests, in milliseconds.
	minUnansweredRetryMs = downUs / clock.Ms
	maxUnansweredRetryMs = 3000
	// maxReserveQueries is the maximum number of voters other than the tail that are queried for one request, and maxQueries
	// the maximum number of queries for it in total.
	maxReserveQueries = 2
	maxQueries        = maxReserveQueries + 2
	// maxRefusalCacheUs is the maximum time for which requests of a tenant are refused without a query.
	maxRefusalCacheUs = 1 * clock.Sec
	// maxUndecided bounds the requests without a decision, and maxCachedRefusals the tenants with a cached refusal.
	maxUndecided      = 8192
	maxCachedRefusals = 4096
)

// Client is the reducer that obtains admission decisions for the requests of one gateway. It is not safe for concurrent use.
type Client struct {
	gateway string
	nowUs   int64
	view    membership.View
	// voters holds the addresses of the view's voters, in an order specific to this gateway.
	voters []string
	// requests holds the undecided requests by ID. waiting holds those of them that are in no query; requests returned from a
	// query come first, new ones last.
	requests map[string]*request
	waiting  []*request
	// queries holds the pending queries by number, and busyAddrs the addresses to which they were sent.
	queries   map[uint64]*query
	busyAddrs map[string]bool
	lastQuery uint64
	// downUntilUs holds, by address, the time until which a control node is not queried.
	downUntilUs map[string]int64
	// refusals holds the cached refusals by tenant.
	refusals map[string]refusal
	// tailAnsweredUs is the time of the last response from a counting control node; 0 before the first.
	tailAnsweredUs int64
	// nextExpiryUs is the earliest time at which a request or query may expire; 0 means never.
	nextExpiryUs int64
	counters     Counters
	tenants      map[string]*TenantCounters
	effects      []Effect
}

// request is a request without a decision. A request that is canceled, or that expires while a query contains it, stays in that
// query with decided set.
type request struct {
	id, tenant string
	limit      Limit
	deadlineUs int64
	decided    bool
	queries    int
	// voters holds the addresses of the voters other than the tail that were queried for the request.
	voters []string
}

// query is a pending query to a control node.
type query struct {
	number     uint64
	addr       string
	toTail     bool
	deadlineUs int64
	requests   []*request
}

// refusal is the last refusal of a tenant with this limit, cached until expiresUs. The verdict is OverLimit, or Unanswered if the
// tail did not respond and no voter had any reserve left for the tenant. An Unanswered refusal applies only while the tail is
// down.
type refusal struct {
	limit     Limit
	verdict   Verdict
	expiresUs int64
}

// NewClient returns a client that knows no control nodes yet. gateway is the name of the gateway.
func NewClient(gateway string) *Client {
	return &Client{
		gateway: gateway, requests: map[string]*request{}, queries: map[uint64]*query{}, busyAddrs: map[string]bool{},
		downUntilUs: map[string]int64{}, refusals: map[string]refusal{}, tenants: map[string]*TenantCounters{},
	}
}

// Step handles one event and returns the effects to perform, in order. nowUs is in microseconds of this process's
// clock.
func (c *Client) Step(nowUs int64, ev Event) []Effect {
	c.nowUs, c.effects = nowUs, nil
	switch ev := ev.(type) {
	case RequestArrived:
		c.handleRequest(ev)
	case RequestCanceled:
		if r := c.requests[ev.ID]; r != nil {
			c.removeRequest(r)
		}
	case ResponseReceived:
		c.handleResponse(ev)
	case QueryFailed:
		c.handleFailure(ev.Query)
	case ViewReceived:
		c.adoptView(ev.View)
	case Tick:
		c.deleteExpired()
	}
	c.expire()
	c.dispatch()
	return c.effects
}

func (c *Client) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Client) handleRequest(ev RequestArrived) {
	r := &request{id: ev.ID, tenant: ev.Tenant, limit: ev.Limit, deadlineUs: c.nowUs + min(maxDecisionUs, max(0, ev.MaxWaitUs))}
	if cached, known := c.refusals[r.tenant]; known && cached.limit == r.limit && c.nowUs < cached.expiresUs && (cached.verdict == OverLimit || !c.isTailAvailable()) {
		c.counters.FromMemory++
		retryMs := ceilMs(cached.expiresUs - c.nowUs)
		if cached.verdict == Unanswered {
			retryMs = c.unansweredRetryMs()
		}
		c.decide(r, cached.verdict, retryMs)
		return
	}
	if len(c.requests) >= maxUndecided {
		c.decide(r, Unanswered, c.unansweredRetryMs())
		return
	}
	c.requests[r.id] = r
	c.waiting = append(c.waiting, r)
	c.scheduleExpiry(r.deadlineUs)
}

// unansweredRetryMs returns the retry time for an unanswered request. It is the time since the last response of a counting control
// node, within bounds: an outage that has lasted for some time is expected to last about as long again.
func (c *Client) unansweredRetryMs() int64 {
	if c.tailAnsweredUs == 0 {
		return minUnansweredRetryMs
	}
	return min(maxUnansweredRetryMs, max(minUnansweredRetryMs, ceilMs(c.nowUs-c.tailAnsweredUs)))
}

// ceilMs converts microseconds to milliseconds, rounded up.
func ceilMs(us int64) int64 { return (us + clock.Ms - 1) / clock.Ms }

// decide emits the decision on a request. A query that still contains the request passes its token to the next request.
func (c *Client) decide(r *request, v Verdict, retryMs int64) {
	c.removeRequest(r)
	c.countDecision(r.tenant, v)
	c.emit(Decision{ID: r.id, Verdict: v, RetryMs: retryMs})
}

// removeRequest marks a request as decided and forgets it; it stays in a pending query.
func (c *Client) removeRequest(r *request) {
	r.decided = true
	delete(c.requests, r.id)
}

// adoptView adopts a view if it is newer than the current one. All control nodes may then be queried again, and refusals by a
// different tail are discarded.
func (c *Client) adoptView(v membership.View) {
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

// rank orders control nodes differently at each gateway, so that the reserves of all voters are used.
func (c *Client) rank(addr string) uint64 {
	return membership.SpreadHash(c.gateway + "|" + addr)
}

// isTailAvailable reports whether the view has a tail that is not known to be down.
func (c *Client) isTailAvailable() bool {
	tail := c.view.Tail().Addr
	return tail != "" && !c.isDown(tail)
}

// dispatch sends queries for the waiting requests: to the tail if it is available, or else to the next voter of each request. No
// query is sent to a control node that has a pending one.
func (c *Client) dispatch() {
	tail := c.view.Tail().Addr
	if len(c.waiting) == 0 || c.isTailAvailable() && c.busyAddrs[tail] {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.decided })
	if c.isTailAvailable() {
		if len(c.waiting) > 0 {
			c.sendQuery(tail, true, c.waiting)
			c.waiting = nil
		}
		return
	}
	c.queryReserves()
}

// queryReserves queries, for each waiting request, the next voter other than the tail. Requests whose next voter has a pending
// query keep waiting.
func (c *Client) queryReserves() {
	batches, remaining := map[string][]*request{}, []*request(nil)
	for _, r := range c.waiting {
		switch addr := c.nextVoter(r); {
		case addr == "":
			c.cacheRefusal(r, Unanswered, minUnansweredRetryMs)
			c.decide(r, Unanswered, c.unansweredRetryMs())
		case c.busyAddrs[addr]:
			remaining = append(remaining, r)
		default:
			batches[addr] = append(batches[addr], r)
		}
	}
	c.waiting = remaining
	for _, addr := range slices.Sorted(maps.Keys(batches)) {
		c.sendQuery(addr, false, batches[addr])
	}
}

// nextVoter returns the address of the next voter to query for a request instead of the tail, or "" if there is none.
func (c *Client) nextVoter(r *request) string {
	if len(r.voters) >= maxReserveQueries || r.queries >= maxQueries {
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

func (c *Client) sendQuery(addr string, tail bool, requests []*request) {
	c.lastQuery++
	timeoutUs := reserveTimeoutUs
	if tail {
		timeoutUs = tailTimeoutUs
	}
	a := &query{number: c.lastQuery, addr: addr, toTail: tail, deadlineUs: c.nowUs + timeoutUs, requests: requests}
	for _, r := range requests {
		r.queries++
		if !tail {
			r.voters = append(r.voters, addr)
		}
	}
	c.queries[a.number], c.busyAddrs[addr] = a, true
	c.scheduleExpiry(a.deadlineUs)
	c.counters.Queries++
	c.emit(Query{Number: a.number, Addr: addr, TimeoutUs: timeoutUs, Request: &wire.QuotaRequest{Gateway: c.gateway, TailUnreachable: !tail, Asks: countByTenant(requests)}})
}

// countByTenant counts requests by tenant, in the order of tenant names.
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

// removeQuery removes a pending query and returns it, or nil if it is no longer pending.
func (c *Client) removeQuery(number uint64) *query {
	a := c.queries[number]
	if a != nil {
		delete(c.queries, number)
		delete(c.busyAddrs, a.addr)
	}
	return a
}

func (c *Client) handleResponse(ev ResponseReceived) {
	a := c.removeQuery(ev.Query)
	if a == nil {
		// The query has timed out and its requests were requeued, so the tokens granted by this response are not used.
		return
	}
	if ev.Response.Counting {
		c.tailAnsweredUs = c.nowUs
	}
	if a.toTail && !ev.Response.Counting {
		c.downUntilUs[a.addr] = c.nowUs + downUs
	}
	c.adoptView(ev.Response.View)
	grants := map[string]wire.QuotaGrant{}
	for _, g := range ev.Response.Grants {
		grants[g.Tenant] = g
	}
	requeued := []*request{}
	for _, r := range a.requests {
		g := grants[r.tenant]
		switch {
		case r.decided:
			// The token of a decided request is left for the next request.
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
			c.cacheRefusal(r, OverLimit, max(1, g.RetryMs))
			c.decide(r, OverLimit, max(1, g.RetryMs))
		default:
			requeued = append(requeued, r)
		}
	}
	c.waiting = append(requeued, c.waiting...)
}

// cacheRefusal makes the next requests of a tenant be refused without a query.
func (c *Client) cacheRefusal(r *request, v Verdict, retryMs int64) {
	if _, known := c.refusals[r.tenant]; known || len(c.refusals) < maxCachedRefusals {
		c.refusals[r.tenant] = refusal{limit: r.limit, verdict: v, expiresUs: c.nowUs + min(maxRefusalCacheUs, retryMs*clock.Ms)}
	}
}

// handleFailure marks the control node of a failed query as down and requeues the requests of the query.
func (c *Client) handleFailure(number uint64) {
	a := c.removeQuery(number)
	if a == nil {
		return
	}
	c.counters.FailedQueries++
	c.downUntilUs[a.addr] = c.nowUs + downUs
	c.waiting = append(a.requests, c.waiting...)
}

// scheduleExpiry makes expire look for expired requests and queries at us at the latest.
func (c *Client) scheduleExpiry(us int64) {
	if c.nextExpiryUs == 0 || us < c.nextExpiryUs {
		c.nextExpiryUs = us
	}
}

// expire fails all queries, and decides all requests, whose deadline has passed.
func (c *Client) expire() {
	if c.nextExpiryUs == 0 || c.nowUs < c.nextExpiryUs {
		return
	}
	c.nextExpiryUs = 0
	for _, number := range slices.Sorted(maps.Keys(c.queries)) {
		if a := c.queries[number]; c.nowUs >= a.deadlineUs {
			c.handleFailure(number)
		} else {
			c.scheduleExpiry(a.deadlineUs)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; c.nowUs >= r.deadlineUs {
			c.decide(r, Unanswered, c.unansweredRetryMs())
		} else {
			c.scheduleExpiry(r.deadlineUs)
		}
	}
}

// deleteExpired deletes expired refusals and down marks.
func (c *Client) deleteExpired() {
	maps.DeleteFunc(c.refusals, func(_ string, m refusal) bool { return c.nowUs >= m.expiresUs })
	maps.DeleteFunc(c.downUntilUs, func(_ string, untilUs int64) bool { return c.nowUs >= untilUs })
}
