package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"petreltide/internal/api/fault"
)

// Tenant is a customer whose requests carry one of its keys. The keys themselves are contained only in Source, which is
// returned to the operator unchanged and otherwise never leaves the control nodes.
type Tenant struct {
	Name string `json:"name" validate:"required,max=256"`
	// KeyDigests holds the KeyDigest of each key. If it is empty, no request can be made as this tenant.
	KeyDigests []string `json:"keyDigests,omitempty" validate:"max=1024,dive,len=64,hexadecimal"`
	// Priority overrides the priority of the route; 0 is the most urgent. If it is nil, the route's priority applies.
	Priority *int `json:"priority,omitempty" validate:"omitempty,min=0,max=1000"`
	// RatePerSecond is the number of requests per second that all gateways together may run; 0 means no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" validate:"min=0,max=1000000000"`
	// Burst is the number of requests that may run at once in excess of the rate.
	Burst  float64         `json:"burst,omitempty" validate:"min=0,max=1000000000"`
	Source json.RawMessage `json:"source,omitempty" validate:"-"`
}

// IsLimited reports whether the tenant has a rate limit, for which its requests are counted over all gateways.
func (t *Tenant) IsLimited() bool { return t.RatePerSecond > 0 }

// maxKeyBytes is the maximum length of a key, which must fit into the header of a request beside other fields.
const maxKeyBytes = 512

// KeyDigest returns the SHA-256 digest of a key in hexadecimal. It is used instead of the key wherever the key itself need
// not be read back.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CheckKey returns a fault if the text is not a valid key, and nil otherwise. The fault does not contain the text.
func CheckKey(key string) *fault.Fault {
	switch {
	case key == "":
		return fault.New(fault.InvalidConfig, "", "an empty key")
	case len(key) > maxKeyBytes:
		return fault.New(fault.InvalidConfig, "", "a key of %d bytes, at most %d are allowed", len(key), maxKeyBytes)
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return fault.New(fault.InvalidConfig, "", "a key with a character that no header may carry unquoted")
	}
	return nil
}

// Tenant returns the tenant of that name, or nil if there is none.
func (d *Declaration) Tenant(name string) *Tenant {
	if d.Index != nil {
		return d.Index.tenants[name]
	}
	return findByName(d.Tenants, name, func(t *Tenant) string { return t.Name })
}

// TenantOfKey returns the tenant that holds a key, or nil if there is none.
func (d *Declaration) TenantOfKey(key string) *Tenant { return d.TenantOfKeyDigest(KeyDigest(key)) }

// TenantOfKeyDigest returns the tenant that holds the key with a KeyDigest, or nil if there is none.
func (d *Declaration) TenantOfKeyDigest(digest string) *Tenant {
	if d.Index != nil {
		return d.Index.keyHolders[digest]
	}
	for i := range d.Tenants {
		if slices.Contains(d.Tenants[i].KeyDigests, digest) {
			return &d.Tenants[i]
		}
	}
	return nil
}

// Allows reports whether a route accepts the requests of a tenant; "" stands for requests of no known tenant. If keys are
// required, only requests of a declared tenant are accepted, except on public routes.
func (d *Declaration) Allows(r *Route, tenant string) bool {
	return !d.RequireKeys || r.Public || d.Tenant(tenant) != nil
}

func tenantPath(i int) string { return fmt.Sprintf("tenants[%d]", i) }

// tenant validates the fields of a tenant if it is new, and checks that no preceding tenant has its name or one of its keys.
func (c *routeChecker) tenant(i int, t *Tenant) {
	if c.isNew(t.Name) {
		c.fields(tenantPath(i), t)
	}
	if !isHeaderValue(t.Name) {
		c.addf(tenantPath(i)+".name", "%q can't stand in a header as it is", t.Name)
	}
	c.unique(c.tenants, tenantPath, i, t.Name)
	for _, digest := range t.KeyDigests {
		if other, taken := c.keyHolders[digest]; taken && other != i {
			c.addf(tenantPath(i), "%s holds one of its keys", tenantPath(other))
		}
		c.keyHolders[digest] = i
	}
}

// isHeaderValue reports whether a text can be transmitted as a header value unchanged.
func isHeaderValue(text string) bool {
	return text == strings.TrimSpace(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

func tenantsWithoutSource(tenants []Tenant) []Tenant {
	bare := slices.Clone(tenants)
	for i := range bare {
		bare[i].Source = nil
	}
	return bare
}
