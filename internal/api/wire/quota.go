package wire

import "petreltide/internal/api/membership"

// QuotaRequest asks a control node to admit requests of tenants whose rate is limited across all gateways.
type QuotaRequest struct {
	Gateway string `json:"gateway"`
	// TailUnreachable means that the tail of the newest known view did not answer: a control node that is not the tail may
	// then admit requests from its reserve.
	TailUnreachable bool       `json:"tailUnreachable,omitempty"`
	Asks            []QuotaAsk `json:"asks"`
}

// QuotaAsk is the number of requests of a tenant that wait for admission.
type QuotaAsk struct {
	Tenant string `json:"tenant"`
	Count  int    `json:"count"`
}

// QuotaResponse answers QuotaRequest.
type QuotaResponse struct {
	// View is the newest view of the chain that the control node knows; only its number is set if Counting is set.
	View membership.View `json:"view"`
	// Counting means that the control node is the tail and keeps the quota counts.
	Counting bool `json:"counting,omitempty"`
	// Grants answer the asks, in the same order.
	Grants []QuotaGrant `json:"grants"`
}

// QuotaGrant is the answer to one QuotaAsk.
type QuotaGrant struct {
	Tenant string `json:"tenant"`
	// Granted is the number of requests that may run; the rest may not.
	Granted int `json:"granted"`
	// RetryMs is the time in ms until the next request may be granted; 0 if all were granted.
	RetryMs int64 `json:"retryMs,omitempty"`
	// Unlimited means that the tenant has no limit in the newest declaration.
	Unlimited bool `json:"unlimited,omitempty"`
}
