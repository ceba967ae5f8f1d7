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

// Tenant is a customer whose requests carry one of its keys. The keys themselves stand in Source alone, which is given
// back to the operator as it came and never leaves the control nodes.
type Tenant struct {
	Name string `json:"name" validate:"required,max=256"`
	// KeyDigests are the KeyDigest of each key; none: nobody can call as this tenant.
	KeyDigests []string `json:"keyDigests,omitempty" validate:"max=1024,dive,len=64,hexadecimal"`
	// Priority goes before that of the route, 0 is the most urgent; nil: the route's counts.
	Priority *int `json:"priority,omitempty" validate:"omitempty,min=0,max=1000"`
	// RatePerSecond is how many requests a second all gateways together may run; 0 is no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" validate:"min=0,max=1000000000"`
	// Burst is how many requests may run beyond the rate at once.
	Burst  float64         `json:"burst,omitempty" validate:"min=0,max=1000000000"`
	Source json.RawMessage `json:"source,omitempty" validate:"-"`
}

// IsLimited says whether the tenant's requests are counted over all gateways.
func (t *Tenant) IsLimited() bool { return t.RatePerSecond > 0 }

// maxKeyBytes bounds a key: it must fit a header beside others.
const maxKeyBytes = 512

// KeyDigest is what stands for a key wherever the key itself need not be read back.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CheckKey says what keeps a text from being a key, without repeating it; nil where nothing does.
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

// Tenant is the tenant of a name; nil where there is none.
func (d *Declaration) Tenant(name string) *Tenant {
	if d.Index != nil {
		return d.Index.tenants[name]
	}
	return findByName(d.Tenants, name, func(t *Tenant) string { return t.Name })
}

// TenantOfKey is the tenant that holds a key; nil where nobody does.
func (d *Declaration) TenantOfKey(key string) *Tenant {
	digest := KeyDigest(key)
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

// Allows says whether a route takes the requests of a tenant, "" for those of nobody that is known: where keys are
// required, only a tenant's, except on public routes.
func (d *Declaration) Allows(r *Route, tenant string) bool {
	return !d.RequireKeys || r.Public || d.Tenant(tenant) != nil
}

func tenantPath(i int) string { return fmt.Sprintf("tenants[%d]", i) }

// tenant checks the fields of one tenant where it is new, and that nobody before it has its name or one of its keys.
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

// isHeaderValue says whether a text reaches the other side of a header unchanged.
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
