package simulator

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"

	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

const opsHost = "ops.example"

// class is one kind of request and the clients that send it.
type class struct {
	name      string
	route     string
	share     float64
	stream    bool
	resumable bool
	repeat    bool
	aimUs     int64
	limitUs   int64
	promptMin int64
	promptMax int64
	eventsMax int
	rare      bool
}

const (
	busyModels = 6
	busyNow    = 3
)

var classes = []class{
	{name: "deck", route: "deck", share: 0.40, stream: true, aimUs: sec, limitUs: 5 * sec, promptMin: 300, promptMax: 1500, eventsMax: 12},
	{name: "rebuild", route: "rebuild", share: 0.14, stream: true, resumable: true, rare: true, aimUs: 3 * sec, limitUs: 10 * sec, promptMin: 300, promptMax: 1500, eventsMax: 24},
	{name: "hint", route: "hint", share: 0.16, stream: true, aimUs: 800 * ms, limitUs: 12 * sec, promptMin: 200, promptMax: 800, eventsMax: 40},
	{name: "grade", route: "grade", share: 0.15, repeat: true, aimUs: 300 * ms, limitUs: 4 * sec},
	{name: "record", route: "record", share: 0.15, aimUs: 300 * ms, limitUs: 4 * sec},
}

// clients send seeded requests through the platform's address, and come back once.
type clients struct {
	machine
	day     *routedDay
	r       *rand.Rand
	n       int
	on      bool
	perSec  float64
	rareX   float64
	shift   int
	missed  map[string]int
	healthy map[string]bool
	// leaving is a fault by which half of the clients leave early until leavesUs; repeats is one by which refused
	// clients come back at once and often until abuseUs.
	leaving  Fault
	leavesUs int64
	repeats  Fault
	abuseUs  int64
}

// seat is one client's side of one try.
type seat struct {
	c         *clients
	class     *class
	body      string
	model     string
	adapter   string
	parts     []replica.Part
	in        int64
	firstUs   int64
	nth       int
	had       int
	impatient bool
	gateway   *routedGateway
	x         *exchange
	over      bool
	silentUs  int64
}

func newClients(d *routedDay) *clients {
	c := &clients{machine: machine{sim: d.Sim, name: "clients", up: true, boot: 1}, day: d, r: rand.New(rand.NewSource(d.plan.Seed * 7)), perSec: d.plan.PerSec, rareX: 1,
		missed: map[string]int{}, healthy: map[string]bool{}}
	c.poll()
	return c
}

// poll is the platform's question each second whether clients may be sent to a gateway.
func (c *clients) poll() {
	for _, t := range c.day.gateways {
		if t.up && t.thawUs <= c.day.nowUs && t.decider.Ready(t.clock()) == nil {
			c.missed[t.name], c.healthy[t.name] = 0, true
		} else if c.missed[t.name]++; c.missed[t.name] >= 2 {
			c.healthy[t.name] = false
		}
	}
	c.later(sec, c.poll)
}

func (c *clients) start() {
	c.on = true
	c.next()
	c.probe()
}

func (c *clients) stop() { c.on = false }

func (c *clients) mostUs() int64 {
	mostUs := int64(0)
	for _, k := range classes {
		mostUs = max(mostUs, k.limitUs)
	}
	return mostUs
}

func (c *clients) next() {
	if !c.on {
		return
	}
	c.draw()
	c.later(int64(c.r.ExpFloat64()/c.perSec/c.weight()*1e6), c.next)
}

// pick is the gateway that the platform hands a client to: one of its zone that answers ready, if half of them do.
func (c *clients) pick(zone string) *routedGateway {
	in := func(keep func(*routedGateway) bool) (out []*routedGateway) {
		for _, t := range c.day.gateways {
			if keep(t) {
				out = append(out, t)
			}
		}
		return out
	}
	all := in(func(t *routedGateway) bool { return t.zone == zone })
	ready := in(func(t *routedGateway) bool { return t.zone == zone && c.healthy[t.name] })
	switch {
	case len(all) > 0 && 2*len(ready) >= len(all) && len(ready) > 0:
		return ready[c.r.Intn(len(ready))]
	case len(ready) > 0:
		return all[c.r.Intn(len(all))]
	}
	if any := in(func(t *routedGateway) bool { return c.healthy[t.name] }); len(any) > 0 {
		return any[c.r.Intn(len(any))]
	}
	return c.day.gateways[c.r.Intn(len(c.day.gateways))]
}

func (c *clients) share(k *class) float64 {
	if k.rare {
		return k.share * c.rareX
	}
	return k.share
}

func (c *clients) weight() (sum float64) {
	for i := range classes {
		sum += c.share(&classes[i])
	}
	return sum
}

// model: most requests go to a few busy models, which change during the day; a rare class takes all others.
func (c *clients) model(k *class) int {
	n := len(c.day.engine.Models)
	if k.rare {
		return busyModels + c.r.Intn(n-busyModels)
	}
	at := min(int(c.r.ExpFloat64()*1.5), busyNow-1)
	return (at + c.shift) % busyModels
}

func (c *clients) draw() {
	c.n++
	x, k := c.r.Float64()*c.weight(), 0
	for k = range classes {
		if x -= c.share(&classes[k]); x < 0 {
			break
		}
	}
	s := &seat{c: c, class: &classes[k], firstUs: c.day.nowUs, impatient: c.r.Intn(3) == 0}
	s.body = fmt.Sprintf("c%d/%d", c.n, 1)
	if s.class.stream {
		s.body = fmt.Sprintf("c%d/%d", c.n, 1+c.r.Intn(s.class.eventsMax))
		m := c.day.engine.Models[c.model(s.class)]
		s.model = m.Name
		if m.Adapters > 0 && c.r.Intn(5) == 0 {
			s.adapter = fmt.Sprintf("a%d", 1+c.r.Intn(m.Adapters))
		}
		own := s.class.promptMin + c.r.Int63n(s.class.promptMax-s.class.promptMin)
		subject := c.r.Intn(12)
		s.parts = []replica.Part{{ID: fmt.Sprintf("h%d", subject%3), Tokens: 200}, {ID: fmt.Sprintf("s%d", subject), Tokens: 150}, {ID: fmt.Sprintf("o%d", c.n), Tokens: own}}
		s.in = 350 + own
	}
	s.send()
}

// subject is the last shared part of the prompt.
func (s *seat) subject() string {
	if len(s.parts) < 2 {
		return ""
	}
	return s.parts[len(s.parts)-2].ID
}

// size weighs a generation: its prompt, and ten times the tokens of its answer.
func (s *seat) size() int64 {
	if !s.class.stream {
		return 0
	}
	return s.in + 10*int64(replica.Total(s.body)*s.c.day.engine.Stride)
}

// send is one try, with an id of its own.
func (s *seat) send() {
	c, d := s.c, s.c.day
	zone := []string{"a", "b", "c"}[c.r.Intn(3)]
	s.gateway, s.x, s.over = c.pick(zone), nil, false
	c.n++
	t := &rules.Attempt{
		ID: fmt.Sprintf("r%d", c.n), Class: s.class.name, Model: s.model, Adapter: s.adapter, Subject: s.subject(), Size: s.size(), Nth: s.nth, Method: "POST", Host: "cards.example", Path: "/" + s.class.route + "/1f", Body: s.body, Machine: s.gateway.name,
		Stream: s.class.stream, ReceivedChunks: s.had, LatencyTargetUs: s.class.aimUs, LimitUs: s.class.limitUs, SentUs: d.nowUs,
	}
	if d.plan.Plant == "" && c.r.Intn(40) == 0 {
		c.later(c.r.Int63n(900*ms), func() { s.hangUp(t) })
	}
	if d.nowUs < c.leavesUs && c.r.Intn(2) == 0 {
		c.later(1+c.r.Int63n(s.class.aimUs/2), func() { s.giveUp(t) })
	}
	s.deliver(t, s.firstUs+s.class.limitUs-d.nowUs)
	s.silentUs = d.nowUs
	s.patience(t)
}

func (s *seat) deliver(t *rules.Attempt, leftUs int64) {
	c, d := s.c, s.c.day
	d.seen.Attempts = append(d.seen.Attempts, t)
	gateway := s.gateway
	ask := replica.Ask{ID: t.ID, Method: t.Method, Host: t.Host, Path: t.Path, Body: t.Body, Model: s.model, Adapter: s.adapter, In: s.in, Parts: s.parts, Last: s.had, Stream: t.Stream}
	t.LimitUs = leftUs
	d.carry(&c.machine, &gateway.machine, sec, func() {
		if s.over {
			return
		}
		if gateway.shut {
			s.broken(t)
			return
		}
		s.x = gateway.take(s, t, ask, leftUs/1000)
	}, func() { s.broken(t) })
}

// patience: a client gives up what is silent for too long, and a repeatable try that nobody has read.
func (s *seat) patience(t *rules.Attempt) {
	d := s.c.day
	mostUs := max(2*sec, 4*s.class.aimUs, 8*400*ms)
	endUs := t.SentUs + t.LimitUs
	var look func()
	look = func() {
		switch {
		case s.over || t.EndUs > 0:
			return
		case d.nowUs >= endUs, t.Stream && d.nowUs-s.silentUs > mostUs:
			s.leave(t)
			t.GaveUp = true
			return
		case t.ReadUs == 0 && (s.class.repeat || s.class.resumable) && d.nowUs-t.SentUs > min(sec, t.LimitUs/3):
			s.leave(t)
			t.GaveUp = true
			s.again(t, 0)
			return
		}
		s.c.later(50*ms, look)
	}
	s.c.later(50*ms, look)
}

func (s *seat) hangUp(t *rules.Attempt) {
	if !s.over {
		s.leave(t)
		t.HungUp = true
	}
}

// leave closes the client's connection.
func (s *seat) leave(t *rules.Attempt) {
	s.over = true
	t.EndUs = s.c.day.nowUs
	if x, gateway := s.x, s.gateway; x != nil {
		s.c.day.carry(&s.c.machine, &gateway.machine, 5*sec, func() {
			if x.gateway.boot == gateway.boot {
				gateway.left(x)
			}
		}, func() {})
	}
}

func (s *seat) end(t *rules.Attempt) bool {
	if s.over {
		return false
	}
	s.over = true
	t.EndUs = s.c.day.nowUs
	return true
}

// broken is a connection that ended without a whole answer.
func (s *seat) broken(t *rules.Attempt) {
	if !s.end(t) {
		return
	}
	if s.class == nil {
		return
	}
	switch {
	case t.ReadUs == 0, s.class.repeat:
		s.again(t, 0)
	case s.class.resumable:
		s.had = t.ReceivedChunks + len(t.Events)
		s.again(t, 0)
	}
}

func (s *seat) answered(t *rules.Attempt, status int, seal, body string, retryMs int64) {
	if !s.end(t) {
		return
	}
	t.Status, t.Seal, t.Response, t.ResponseID, t.Complete, t.FirstUs = status, seal, body, t.ID, true, s.c.day.nowUs
	if s.class == nil || status/100 == 2 || slices.Contains([]int{400, 401, 404, 413, 431}, status) {
		return
	}
	promise := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
	if !promise && !s.class.repeat && !s.class.resumable {
		return
	}
	s.again(t, retryMs)
}

func (s *seat) head(t *rules.Attempt, status int, seal string) {
	if !s.over {
		t.Status, t.Seal, t.ResponseID = status, seal, t.ID
	}
}

func (s *seat) event(t *rules.Attempt, n int, text string) {
	if s.over {
		return
	}
	if t.FirstUs == 0 {
		t.FirstUs = s.c.day.nowUs
	}
	s.silentUs = s.c.day.nowUs
	t.Events = append(t.Events, rules.EventSeen{N: n, Text: text, AtUs: s.c.day.nowUs})
}

func (s *seat) complete(t *rules.Attempt) {
	if s.end(t) {
		t.Complete = true
	}
}

// again is the client's one further try: at once, or when it was told.
func (s *seat) again(t *rules.Attempt, retryMs int64) {
	d := s.c.day
	leftUs := s.firstUs + s.class.limitUs - d.nowUs
	triesMost := 1
	if d.nowUs < s.c.abuseUs {
		triesMost += abuseTries
	}
	if s.nth >= triesMost || leftUs < 200*ms || (s.had > 0 && s.had >= replica.Total(s.body)) {
		return
	}
	waitUs := min(retryMs*ms, leftUs/3)
	if s.impatient || triesMost > 1 {
		waitUs = 0
	}
	if s.nth >= 1 {
		d.count(s.c.repeats)
	}
	next := &seat{c: s.c, class: s.class, body: s.body, model: s.model, adapter: s.adapter, parts: s.parts, in: s.in, firstUs: s.firstUs, nth: s.nth + 1, had: s.had, impatient: s.impatient}
	s.c.later(waitUs+ms, next.send)
}

// probe asks a gateway directly for a route that was just added or removed, or that never was.
func (c *clients) probe() {
	if !c.on {
		return
	}
	c.later(120*ms+c.r.Int63n(120*ms), c.probe)
	gateway := c.day.gateways[c.r.Intn(len(c.day.gateways))]
	if !gateway.up || !c.healthy[gateway.name] {
		return
	}
	c.n++
	t := &rules.Attempt{
		ID: fmt.Sprintf("r%d", c.n), Class: "probe", Method: "POST", Host: opsHost, Path: c.day.ops.probed(c.r) + "1f", Body: fmt.Sprintf("c%d/1", c.n), Machine: gateway.name,
		Probe: true, LatencyTargetUs: sec, LimitUs: 2 * sec, SentUs: c.day.nowUs,
	}
	s := &seat{c: c, gateway: gateway, firstUs: c.day.nowUs}
	s.deliver(t, 2*sec)
	c.later(2*sec, func() { s.hangUp(t) })
}

// abuseTries is how many times more than others an abusive client tries, without a pause.
const abuseTries = 3

func (c *clients) giveUp(f Fault) { c.leaving, c.leavesUs = f, c.day.nowUs+f.ForUs+2*sec }

func (c *clients) abuse(f Fault) { c.repeats, c.abuseUs = f, c.day.nowUs+f.ForUs+2*sec }

// giveUp is a client that leaves within half of its aim.
func (s *seat) giveUp(t *rules.Attempt) {
	if !s.over {
		s.c.day.count(s.c.leaving)
	}
	s.hangUp(t)
}
