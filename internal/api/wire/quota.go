package wire

import "petreltide/internal/api/membership"

// QuotaRequest asks a control node to admit requests of tenants that have a limit over all gateways.
type QuotaRequest struct {
	Gateway string `json:"gateway"`
	// TailUnreachable says that the tail of the newest known view did not answer: a control node that is not the tail may
	// then admit out of its reserve.
	TailUnreachable bool       `json:"tailUnreachable,omitempty"`
	Asks            []QuotaAsk `json:"asks"`
}

// QuotaAsk is how many requests of a tenant wait for admission.
type QuotaAsk struct {
	Tenant string `json:"tenant"`
	Count  int    `json:"count"`
}

// QuotaResponse answers QuotaRequest.
type QuotaResponse struct {
	// View is the newest view of the chain that the control node knows.
	View membership.View `json:"view"`
	// Counting says that the control node is the tail and holds the books.
	Counting bool `json:"counting,omitempty"`
	// Grants are in the order of the asks.
	Grants []QuotaGrant `json:"grants"`
}

// QuotaGrant is what a tenant was granted for one ask.
type QuotaGrant struct {
	Tenant string `json:"tenant"`
	// Granted is how many of the requests may run; the rest may not.
	Granted int `json:"granted"`
	// RetryMs is when the next request may be granted, in ms; 0 where all were.
	RetryMs int64 `json:"retryMs,omitempty"`
	// Unlimited says that the tenant has no limit in the newest declaration.
	Unlimited bool `json:"unlimited,omitempty"`
}
