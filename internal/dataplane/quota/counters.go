package quota

import (
	"cmp"
	"slices"
)

// maxCountedTenants bounds the tenants that are counted one by one; those beyond are counted in the sums alone.
const maxCountedTenants = 4096

// Counters count what was asked and decided since this process started.
type Counters struct {
	// Asks are questions sent to control nodes, and FailedQueries those of them without an answer.
	Queries       uint64 `json:"asks"`
	FailedQueries uint64 `json:"failedAsks"`
	Admitted      uint64 `json:"admitted"`
	// FromReserve are those of the admitted that a control node beside the tail granted.
	FromReserve uint64 `json:"fromReserve"`
	OverLimit   uint64 `json:"overLimit"`
	// FromMemory are those refused without asking, by what was last said of their tenant.
	FromMemory uint64 `json:"fromMemory"`
	Unanswered uint64 `json:"unanswered"`
}

// TenantCounters count what was decided for one tenant.
type TenantCounters struct {
	Tenant     string `json:"tenant"`
	Admitted   uint64 `json:"admitted"`
	OverLimit  uint64 `json:"overLimit"`
	Unanswered uint64 `json:"unanswered"`
}

// Status is what an operator sees of the limits at one gateway.
type Status struct {
	Counters
	// Waiting are the requests without a decision.
	Waiting int              `json:"waiting"`
	Tenants []TenantCounters `json:"tenants"`
}

// Status is nil where no tenant with a limit has sent anything.
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

// count notes what was decided for a tenant.
func (c *Client) count(tenant string, v Verdict) {
	of := c.tenants[tenant]
	if of == nil {
		of = &TenantCounters{Tenant: tenant}
		if len(c.tenants) < maxCountedTenants {
			c.tenants[tenant] = of
		}
	}
	switch v {
	case Admitted:
		c.counters.Admitted++
		of.Admitted++
	case OverLimit:
		c.counters.OverLimit++
		of.OverLimit++
	case Unanswered:
		c.counters.Unanswered++
		of.Unanswered++
	}
}
