package quota

import (
	"cmp"
	"slices"
)

// maxCountedTenants bounds the tenants with counters of their own; any other tenant is counted in the totals alone.
const maxCountedTenants = 4096

// Counters count queries and decisions since the start of this process.
type Counters struct {
	// Queries counts queries sent to control nodes, and FailedQueries those of them without a response.
	Queries       uint64 `json:"asks"`
	FailedQueries uint64 `json:"failedAsks"`
	Admitted      uint64 `json:"admitted"`
	// FromReserve counts the admitted requests whose token was granted from the reserve of a control node that is not a
	// counting tail.
	FromReserve uint64 `json:"fromReserve"`
	OverLimit   uint64 `json:"overLimit"`
	// FromMemory counts the requests refused without a query, by a cached refusal of their tenant.
	FromMemory uint64 `json:"fromMemory"`
	Unanswered uint64 `json:"unanswered"`
}

// TenantCounters count the decisions on the requests of one tenant.
type TenantCounters struct {
	Tenant     string `json:"tenant"`
	Admitted   uint64 `json:"admitted"`
	OverLimit  uint64 `json:"overLimit"`
	Unanswered uint64 `json:"unanswered"`
}

// Status is the operator's view of rate limiting at one gateway.
type Status struct {
	Counters
	// Waiting is the number of requests without a decision.
	Waiting int              `json:"waiting"`
	Tenants []TenantCounters `json:"tenants"`
}

// Status returns the current status, with tenants sorted by name, or nil if no request of a tenant with a limit has been decided.
func (c *Client) Status() *Status {
	if len(c.tenants) == 0 {
		return nil
	}
	st := &Status{Counters: c.counters, Waiting: len(c.requests), Tenants: []TenantCounters{}}
	for _, t := range c.tenants {
		st.Tenants = append(st.Tenants, *t)
	}
	slices.SortFunc(st.Tenants, func(a, b TenantCounters) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return st
}

// countDecision counts a decision in the totals and for its tenant.
func (c *Client) countDecision(tenant string, v Verdict) {
	ofTenant := c.tenants[tenant]
	if ofTenant == nil {
		ofTenant = &TenantCounters{Tenant: tenant}
		if len(c.tenants) < maxCountedTenants {
			c.tenants[tenant] = ofTenant
		}
	}
	switch v {
	case Admitted:
		c.counters.Admitted++
		ofTenant.Admitted++
	case OverLimit:
		c.counters.OverLimit++
		ofTenant.OverLimit++
	case Unanswered:
		c.counters.Unanswered++
		ofTenant.Unanswered++
	}
}
