package configuration

import (
	"cmp"
	"encoding/json"
)

// RetryClass determines which calls may be sent to a second replica after a first one may have run them.
type RetryClass string

// The retry classes. Calls of a streaming route may be retried only if the route is resumable.
const (
	Streaming     RetryClass = "streaming"
	Idempotent    RetryClass = "idempotent"
	NonIdempotent RetryClass = "non_idempotent"
)

// Route sends the calls for one host and path prefix to services. Source is the operator's own text of the route, which is
// returned unchanged. Times are in milliseconds. Priority 0 is the most urgent.
type Route struct {
	Name            string            `json:"name" validate:"required,max=256"`
	Host            string            `json:"host" validate:"required,max=256"`
	Prefix          string            `json:"prefix" validate:"required,max=4096,startswith=/,endswith=/"`
	RetryClass      RetryClass        `json:"repeat" validate:"oneof=streaming idempotent non_idempotent"`
	TimeoutMs       int64             `json:"timeoutMs" validate:"min=1,max=86400000"`
	LatencyTargetMs int64             `json:"aimMs,omitempty" validate:"min=0"`
	MaxGapMs        int64             `json:"gapMs,omitempty" validate:"min=0"`
	Priority        int               `json:"priority" validate:"min=0,max=1000"`
	Split           []WeightedService `json:"split" validate:"min=1,max=64,dive"`
	MaxAttempts     int               `json:"attemptsMost" validate:"min=1,max=64"`
	Affinity        bool              `json:"affinity,omitempty"`
	Resumable       bool              `json:"resumable,omitempty"`
	// Public means that the route accepts requests without a key.
	Public bool            `json:"public,omitempty"`
	Source json.RawMessage `json:"source,omitempty" validate:"-"`
}

// WeightedService is a service that receives a share of a route's calls in proportion to its weight.
type WeightedService struct {
	Service string `json:"service" validate:"required"`
	Weight  int    `json:"weight" validate:"min=0,max=1000000"`
}

// RoutePlace is the host and path prefix that requests are matched with. It identifies a route in every declaration, which the name
// does not, because operators may give a name to another route.
type RoutePlace struct {
	Host   string
	Prefix string
}

// Place returns the host and path prefix of the route.
func (r *Route) Place() RoutePlace { return RoutePlace{Host: r.Host, Prefix: r.Prefix} }

// Compare orders places by host, then by prefix. It returns a negative number, 0 or a positive number.
func (p RoutePlace) Compare(other RoutePlace) int {
	return cmp.Or(cmp.Compare(p.Host, other.Host), cmp.Compare(p.Prefix, other.Prefix))
}

// Retryable reports whether the route's calls may run more than once: the route is idempotent, or streaming and resumable.
func (r *Route) Retryable() bool {
	return r.RetryClass == Idempotent || (r.RetryClass == Streaming && r.Resumable)
}

// PickService returns a service chosen by weight from a uniformly distributed number, such as a hash of the call's ID.
func (r *Route) PickService(hash uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0
	for _, w := range r.Split {
		sum += w.Weight
	}
	at := int(hash % uint64(max(sum, 1)))
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// SendsTo reports whether the route sends calls to a service, that is with a weight above 0.
func (r *Route) SendsTo(service string) bool {
	for _, w := range r.Split {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is a set of replicas that routes send calls to. Source is the operator's own text of the service.
type Service struct {
	Name           string          `json:"name" validate:"required,max=256"`
	HealthPath     string          `json:"health,omitempty"`
	MaxConnections int             `json:"connectionsMost,omitempty" validate:"min=0"`
	Engine         *Engine         `json:"engine,omitempty"`
	Source         json.RawMessage `json:"source,omitempty" validate:"-"`
}

// Limits bounds what a caller may send and how long it may take; 0 stands for the built-in bound.
type Limits struct {
	MaxHeaderBytes  int             `json:"headerBytesMost,omitempty" validate:"min=0"`
	MaxBodyBytes    int64           `json:"bodyBytesMost,omitempty" validate:"min=0"`
	HeaderTimeoutMs int64           `json:"headerMs,omitempty" validate:"min=0"`
	IdleTimeoutMs   int64           `json:"idleMs,omitempty" validate:"min=0"`
	Source          json.RawMessage `json:"source,omitempty" validate:"-"`
}
