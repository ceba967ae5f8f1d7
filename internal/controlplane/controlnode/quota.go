package controlnode

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/quota"
)

// observeQuota updates the quota ledger with the current role of this control node and, after another declaration has come into
// force, with its limits. Comparing the pointers detects that, as a declaration is replaced as a whole and never modified.
func (c *Core) observeQuota(nowUs int64) {
	if doc := c.Node.State().Doc; doc != c.quotaDoc {
		c.quotaDoc = doc
		c.quota.SetLimits(nowUs, quotaLimits(doc))
	}
	view := c.Node.View()
	c.quota.SetRole(nowUs, quota.Role{
		Counting: c.Node.IsTailReady(nowUs), View: view.Number, Voters: len(view.Voters),
		Voter: view.Number > 0 && c.Node.Phase() != chain.PhaseFenced && view.IsVoter(c.Node.Self().ID),
	})
}

// quotaLimits returns the limits of a declaration's tenants; none if there is no declaration.
func quotaLimits(doc *configuration.Declaration) []quota.Limit {
	limits := []quota.Limit{}
	if doc == nil {
		return limits
	}
	for i := range doc.Tenants {
		t := &doc.Tenants[i]
		limits = append(limits, quota.Limit{Tenant: t.Name, RatePerSecond: t.RatePerSecond, Burst: t.Burst})
	}
	return limits
}

// handleQuotaRequest answers a gateway's quota request according to the current role of this control node.
func (c *Core) handleQuotaRequest(nowUs int64, event QuotaRequested) {
	c.observeQuota(nowUs)
	asks := make([]quota.TokenRequest, 0, len(event.Request.Asks))
	for _, ask := range event.Request.Asks {
		asks = append(asks, quota.TokenRequest{Tenant: ask.Tenant, Count: ask.Count})
	}
	response := wire.QuotaResponse{View: c.Node.View(), Counting: c.Node.IsTailReady(nowUs), Grants: make([]wire.QuotaGrant, 0, len(asks))}
	if response.Counting {
		// The gateway has found the tail and needs no members, which would make up most of the response.
		response.View = chain.View{Number: response.View.Number}
	}
	for _, g := range c.quota.Take(nowUs, event.Request.TailUnreachable, asks) {
		response.Grants = append(response.Grants, wire.QuotaGrant{Tenant: g.Tenant, Granted: g.Granted, RetryMs: g.RetryMs,
			Unlimited: g.Unlimited})
	}
	c.effects = append(c.effects, ReplyQuota{ReplyID: event.ReplyID, Response: response})
}

// QuotaStatus is a control node's view of the tenants' quotas. Only the counting control node, a ready tail, knows the tokens
// that all gateways together may use.
type QuotaStatus struct {
	Counting bool                 `json:"counting"`
	Tenants  []quota.TenantStatus `json:"tenants"`
}

// quotaStatus returns nil if no tenant is declared.
func (c *Core) quotaStatus(nowUs int64) *QuotaStatus {
	tenants := c.quota.Status(nowUs)
	if len(tenants) == 0 {
		return nil
	}
	return &QuotaStatus{Counting: c.Node.IsTailReady(nowUs), Tenants: tenants}
}
