package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"petreltide/internal/process/clock"
	"petreltide/tests/history"
	"petreltide/tests/rules"
)

// routedOps is the operator: it numbers versions and keeps its own account of what each would put in force.
type routedOps struct {
	f      *Fleet
	r      *rand.Rand
	mu     sync.Mutex
	number uint64
	tip    *opsVersion
	marks  []string
	shadow []string
	sent   []*opsVersion
}

type opsRoute map[string]any

type opsVersion struct {
	seen   *rules.Version
	order  *history.Order
	routes []opsRoute
	path   string
	body   []byte
}

func opsService(name string) []string { return []string{name} }

func (p *routedOps) routeOf(name, host, prefix, kind string, timeout time.Duration, attempts int, service string) opsRoute {
	return opsRoute{
		"name": name, "hostName": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 300, "priority": 1, "service": service,
		"maxAttempts": attempts, "sessionAffinity": kind == "streaming", "resumable": false, "targetGapMs": 400,
	}
}

func (p *routedOps) mark(number uint64) opsRoute {
	return p.routeOf(fmt.Sprintf("mark-%d", number), opsHost, fmt.Sprintf("/v%d/", number), "idempotent", 2*time.Second, 2, "log")
}

func (p *routedOps) first() *opsVersion {
	routes := []opsRoute{}
	for _, k := range routedClasses {
		service := "log"
		if k.stream() {
			service = "cards"
		}
		r := p.routeOf(k.name, "cards.example", "/"+k.name+"/", k.kind, k.limit, k.attempts, service)
		r["resumable"] = k.resumable
		routes = append(routes, r)
	}
	for n := range p.f.plan.MoreRoutes {
		routes = append(routes, p.routeOf(fmt.Sprintf("more-%d", n), "more.example", fmt.Sprintf("/more%d/", n), "idempotent", 2*time.Second, 2, "log"))
	}
	number := p.draw()
	return p.version(number, nil, append(routes, p.mark(number)), nil, nil, true)
}

func (p *routedOps) draw() uint64 {
	p.number += 1 + uint64(p.r.Intn(3))
	return p.number
}

func (p *routedOps) services() []map[string]any {
	e := p.f.engine
	models := []map[string]any{}
	for _, m := range e.Models {
		models = append(models, map[string]any{"name": m.Name, "weightsSizeMb": m.SizeMB, "loadDurationS": float64(m.LoadMs) / 1000, "adapters": m.Adapters, "adapterSizeMb": m.AdapterMB})
	}
	engine := map[string]any{
		"capacitySlots": e.Slots, "cacheCapacityTokens": e.CacheTokens, "cacheTokenBytes": 131072, "linkMbps": 1000.0, "stride": e.Stride, "models": models, "weightsSizeMb": e.CapacityMB,
		"adapterCapacity": e.MaxAdapters, "loadsPerS": e.LoadsPerSecond,
	}
	return []map[string]any{
		{"name": "cards", "healthPath": "/health", "connectionLimit": 500, "protocol": "h1", "tlsEnabled": false, "engine": engine},
		{"name": "log", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tlsEnabled": false},
		{"name": "log-b", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tlsEnabled": false},
	}
}

// limits are those of every configuration.
func (p *routedOps) limits() map[string]any {
	if p.f.plan.Limits != nil {
		return p.f.plan.Limits
	}
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// account is what is in force, item by item, in one order.
func account(number uint64, items []json.RawMessage) string {
	lines := []string{}
	for _, raw := range items {
		var v map[string]any
		_ = json.Unmarshal(raw, &v)
		sorted, _ := json.Marshal(v)
		lines = append(lines, string(sorted))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%d\n%s", number, strings.Join(lines, "\n"))
}

func rawOf(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// version is a change as it is sent, whole or as an update, and as it should be seen.
func (p *routedOps) version(number uint64, base *opsVersion, routes, upsert []opsRoute, remove []string, valid bool) *opsVersion {
	v := &opsVersion{routes: routes, seen: &rules.Version{Number: number, Valid: valid}}
	if base != nil {
		v.seen.Base = base.seen.Number
	}
	items := []json.RawMessage{}
	for _, r := range routes {
		items = append(items, rawOf(r))
		seen := rules.RouteSeen{Name: r["name"].(string), Host: r["hostName"].(string), Prefix: r["pathPrefix"].(string), Services: opsService(r["service"].(string))}
		seen.Resumable = r["resumable"].(bool)
		seen.Repeatable = seen.Resumable || r["routeKind"] == "idempotent"
		v.seen.Routes = append(v.seen.Routes, seen)
	}
	for _, s := range p.services() {
		items = append(items, rawOf(s))
	}
	for _, t := range p.f.tenantItems() {
		items = append(items, rawOf(t))
	}
	p.f.noteTenants(v.seen)
	v.seen.Sent = account(number, items)
	if upsert != nil {
		v.path, v.body = "/configuration/update", rawOf(map[string]any{"version": number, "upsert": map[string]any{"routes": upsert}, "remove": map[string]any{"routes": remove}})
	} else {
		whole := map[string]any{
			"version": number, "routes": routes, "services": p.services(), "limits": p.limits(),
		}
		if tenants := p.f.tenantItems(); tenants != nil {
			whole["tenants"] = tenants
		}
		v.path, v.body = "/configuration/replace", rawOf(whole)
	}
	p.sent = append(p.sent, v)
	v.order = &history.Order{
		ID: fmt.Sprint(number, "-", len(p.sent)), Base: v.seen.Base, Version: number, Content: v.seen.Sent, Spoiled: !valid,
	}
	return v
}

// next moves where requests go, adds a route that shows the version, and takes old ones away.
func (p *routedOps) next(base *opsVersion) *opsVersion {
	number := p.draw()
	return p.nextAs(base, number, p.mark(number))
}

// nextAs is next under a number of the caller's, with a route that shows it.
func (p *routedOps) nextAs(base *opsVersion, number uint64, shown opsRoute) *opsVersion {
	upsert := []opsRoute{shown}
	remove := []string{}
	marks := []string{}
	for _, r := range base.routes {
		name := r["name"].(string)
		if strings.HasPrefix(name, "mark-") {
			marks = append(marks, name)
		}
		if (name == "grade" || name == "record") && p.r.Intn(2) == 0 {
			moved := opsRoute{}
			for k, v := range r {
				moved[k] = v
			}
			moved["service"] = []string{"log", "log-b"}[p.r.Intn(2)]
			upsert = append(upsert, moved)
		}
	}
	if len(marks) > 3 {
		remove = marks[:len(marks)-3]
	}
	routes := slices.Clone(base.routes)
	for _, u := range upsert {
		if at := slices.IndexFunc(routes, func(r opsRoute) bool { return r["name"] == u["name"] }); at >= 0 {
			routes[at] = u
		} else {
			routes = append(routes, u)
		}
	}
	routes = slices.DeleteFunc(routes, func(r opsRoute) bool { return slices.Contains(remove, r["name"].(string)) })
	if p.r.Intn(2) == 0 {
		return p.version(number, base, routes, nil, nil, true)
	}
	return p.version(number, base, routes, upsert, remove, true)
}

// send carries a version until it gets a clear answer, or for too long; half a percent of answers are lost.
func (p *routedOps) send(ctx context.Context, v *opsVersion, most time.Duration) int {
	v.seen.SentUs = clock.NowUs()
	p.f.note(func(d *rules.Day) { d.Versions = append(d.Versions, v.seen) })
	p.mu.Lock()
	if v.seen.Valid {
		p.marks = append(p.marks, fmt.Sprintf("/v%d/", v.seen.Number))
	} else {
		p.shadow = append(p.shadow, fmt.Sprintf("/v%d/", v.seen.Number))
	}
	p.mu.Unlock()
	pause := 50 * time.Millisecond
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; {
		switch status := p.call(ctx, v); answerOf(status) {
		case history.Acknowledged:
			p.f.note(func(*rules.Day) { v.seen.AckedUs = clock.NowUs() })
			return status
		case history.Refused, history.Invalid:
			p.f.note(func(*rules.Day) { v.seen.RefusedUs, v.seen.Status = clock.NowUs(), status })
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0
}

// answerOf is what a status says to an operator.
func answerOf(status int) history.Answer {
	switch {
	case status == http.StatusOK:
		return history.Acknowledged
	case status == http.StatusPreconditionFailed:
		return history.Refused
	case status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		return history.Invalid
	}
	return history.Unclear
}

// call sends an order once to any machine that serves control. Every tenth answer is lost on its way: it gives 0, as
// no answer does.
func (p *routedOps) call(ctx context.Context, v *opsVersion) int {
	addrs := p.f.control()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addrs[p.r.Intn(len(addrs))]+v.path, bytes.NewReader(v.body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Based-On-Version", strconv.FormatUint(v.seen.Base, 10))
	call := p.f.calls.Send(v.order, clock.NowUs())
	res, err := operatorClient().Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if p.r.Intn(10) == 0 {
		return 0
	}
	p.f.calls.Answered(call, answerOf(res.StatusCode), clock.NowUs())
	return res.StatusCode
}

// operatorClient waits a second for an answer, and keeps no connection.
func operatorClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// change sends one version on top of the newest, and reads what is in force where the answer was not clear.
func (p *routedOps) change(ctx context.Context) {
	v := p.next(p.tip)
	if p.send(ctx, v, 12*time.Second) == http.StatusOK {
		p.tip = v
		return
	}
	p.reread(ctx)
}

// reread takes what is in force as the version to build on.
func (p *routedOps) reread(ctx context.Context) {
	_, text, ok := p.read(ctx)
	if !ok {
		return
	}
	for _, v := range p.sent {
		if v.seen.Sent == text {
			p.tip = v
		}
	}
}

// race sends two on one base at once.
func (p *routedOps) race(ctx context.Context) {
	p.atOnce(ctx, p.next(p.tip), p.next(p.tip))
}

// maxRivals is how many orders operators have under way at once.
const maxRivals = 8

// rivals sends up to eight at once, under one number and on one base, that all differ.
func (p *routedOps) rivals(ctx context.Context) {
	number := p.draw()
	versions := []*opsVersion{}
	for n := range 2 + p.r.Intn(maxRivals-1) {
		shown := p.routeOf(fmt.Sprintf("mark-%d-%d", number, n), opsHost, fmt.Sprintf("/v%d-%d/", number, n), "idempotent", 2*time.Second, 2, "log")
		versions = append(versions, p.nextAs(p.tip, number, shown))
	}
	p.atOnce(ctx, versions...)
}

// again sends orders that had a clear answer once more, as they were; that answer must stand.
func (p *routedOps) again(ctx context.Context) {
	for range 4 {
		v := p.sent[max(0, len(p.sent)-1-p.r.Intn(12))]
		if v.seen.AckedUs+v.seen.RefusedUs > 0 {
			p.call(ctx, v)
		}
	}
}

// atOnce sends versions side by side, and reads what came of it.
func (p *routedOps) atOnce(ctx context.Context, versions ...*opsVersion) {
	var wg sync.WaitGroup
	for _, v := range versions {
		wg.Add(1)
		other := &routedOps{f: p.f, r: rand.New(rand.NewSource(p.r.Int63()))}
		go func() {
			defer wg.Done()
			other.send(ctx, v, 12*time.Second)
			p.mu.Lock()
			p.marks = append(p.marks, other.marks...)
			p.mu.Unlock()
		}()
	}
	wg.Wait()
	p.reread(ctx)
}

// bad sends what wants a refusal.
func (p *routedOps) bad(ctx context.Context) {
	number := p.draw()
	spoiled := p.mark(number)
	switch p.r.Intn(3) {
	case 0:
		spoiled["service"] = "nowhere"
	case 1:
		spoiled["timeoutMs"] = 0
	default:
		spoiled["pathPrefix"] = "/deck/"
		spoiled["hostName"] = "cards.example"
	}
	v := p.version(number, p.tip, append(slices.Clone(p.tip.routes), spoiled), []opsRoute{spoiled}, nil, false)
	p.send(ctx, v, 6*time.Second)
}

// read asks for what is in force.
func (p *routedOps) read(ctx context.Context) (number uint64, text string, ok bool) {
	for range 30 {
		addrs := p.f.control()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addrs[p.r.Intn(len(addrs))]+"/configuration/read", nil)
		if err != nil {
			return 0, "", false
		}
		call := p.f.calls.Read(clock.NowUs())
		if res, err := operatorClient().Do(req); err == nil {
			raw, bad := io.ReadAll(res.Body)
			_ = res.Body.Close()
			doc := struct {
				Version  uint64            `json:"version"`
				Routes   []json.RawMessage `json:"routes"`
				Services []json.RawMessage `json:"services"`
				Tenants  []json.RawMessage `json:"tenants"`
			}{}
			if bad == nil && res.StatusCode == http.StatusOK && json.Unmarshal(raw, &doc) == nil {
				text = account(doc.Version, slices.Concat(doc.Routes, doc.Services, doc.Tenants))
				p.f.calls.Saw(call, doc.Version, text, clock.NowUs())
				return doc.Version, text, true
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0, "", false
}

func (p *routedOps) probed(r *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch n := r.Intn(10); {
	case n == 0 || len(p.marks) == 0:
		return "/never/"
	case n <= 2 && len(p.shadow) > 0:
		return p.shadow[len(p.shadow)-1]
	default:
		return p.marks[max(0, len(p.marks)-1-int(r.ExpFloat64()*2))]
	}
}
