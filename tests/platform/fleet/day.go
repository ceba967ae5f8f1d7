package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/process/clock"
	"petreltide/tests/fleet"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

const opsHost = "ops.example"

// routedClass is one kind of request that clients send.
type routedClass struct {
	name      string
	kind      string
	resumable bool
	share     float64
	aim       time.Duration
	limit     time.Duration
	events    int
	attempts  int
}

var routedClasses = []routedClass{
	{"deck", "streaming", false, 0.4, time.Second, 5 * time.Second, 12, 1},
	{"rebuild", "streaming", true, 0.2, 3 * time.Second, 8 * time.Second, 30, 3},
	{"grade", "idempotent", false, 0.2, 300 * time.Millisecond, 3 * time.Second, 0, 3},
	{"record", "non_idempotent", false, 0.2, 300 * time.Millisecond, 3 * time.Second, 0, 2},
}

func (c *routedClass) stream() bool { return c.kind == "streaming" }

// demand sends seeded requests until the context ends, and waits for those under way.
func (f *Fleet) demand(ctx context.Context) {
	r := rand.New(rand.NewSource(f.plan.Seed * 7))
	healthy := map[string]bool{}
	var mu sync.Mutex
	go func() {
		for ctx.Err() == nil {
			for _, p := range f.of("gateway") {
				go func() {
					ok := f.ready(p)
					mu.Lock()
					healthy[p.name] = ok
					mu.Unlock()
				}()
			}
			time.Sleep(time.Second)
		}
	}()
	pick := func(r *rand.Rand) *machineProc {
		mu.Lock()
		defer mu.Unlock()
		in := []*machineProc{}
		for _, p := range f.of("gateway") {
			if healthy[p.name] {
				in = append(in, p)
			}
		}
		if len(in) == 0 {
			in = f.of("gateway")
		}
		return in[r.Intn(len(in))]
	}
	var wg sync.WaitGroup
	for n := 1; ctx.Err() == nil; n++ {
		seed := r.Int63()
		probe := n%6 == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			own := rand.New(rand.NewSource(seed))
			if probe {
				f.probe(own, n, pick(own))
				return
			}
			f.client(own, n, func() *machineProc { return pick(own) })
		}()
		time.Sleep(time.Duration(r.ExpFloat64() / f.plan.PerSecond * 1e9))
	}
	wg.Wait()
}

// client is one request, and one more try where the pages allow it.
func (f *Fleet) client(r *rand.Rand, n int, pick func() *machineProc) {
	x, k := r.Float64(), &routedClasses[0]
	for i := range routedClasses {
		k = &routedClasses[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	total, headers := 1, map[string]string{}
	if k.stream() {
		total = 1 + r.Intn(k.events)
		m := f.engine.Models[min(int(r.ExpFloat64()*3), len(f.engine.Models)-1)]
		headers["Model-Name"] = m.Name
		if m.Adapters > 0 && r.Intn(4) == 0 {
			headers["Model-Name"] += fmt.Sprintf("/a%d", 1+r.Intn(m.Adapters))
		}
		own := 100 + r.Intn(400)
		headers["Token-Counts"] = fmt.Sprintf("%d,%d", 350+own, total*2)
		headers["Prompt-Prefix"] = fmt.Sprintf("a%d:200,b%d:150,%x:%d", r.Intn(3), r.Intn(6), n+1<<20, own)
	}
	body := fmt.Sprintf("c%d/%d", n, total)
	endBy := time.Now().Add(k.limit)
	hang := time.Duration(0)
	if r.Intn(40) == 0 {
		hang = time.Duration(r.Intn(700)) * time.Millisecond
	}
	had := 0
	of := f.pickTenant(r)
	for nth := 0; nth < 2; nth++ {
		left := time.Until(endBy)
		if left < 150*time.Millisecond {
			return
		}
		t := &rules.Attempt{
			ID: fmt.Sprintf("r%d-%d", n, nth), Class: k.name, Model: modelOf(headers["Model-Name"]), Nth: nth, Method: "POST", Host: "cards.example", Path: "/" + k.name + "/1f", Body: body, Stream: k.stream(), ReceivedChunks: had,
			LatencyTargetUs: k.aim.Microseconds(), LimitUs: left.Microseconds(),
		}
		retry := f.try(t, pick(), of, headers, left, hang)
		if t.HungUp || t.Served() {
			return
		}
		promise := slices.Contains([]int{408, 421, 429, 503}, t.Status)
		switch {
		case slices.Contains([]int{400, 401, 404, 413, 431}, t.Status):
			return
		case promise, k.kind == "idempotent":
		case k.resumable:
			if had += len(t.Events); had >= total {
				return
			}
		default:
			return
		}
		if r.Intn(3) > 0 {
			time.Sleep(min(retry, left/3))
		}
	}
}

func modelOf(name string) string {
	model, _, _ := strings.Cut(name, "/")
	return model
}

func (f *Fleet) probe(r *rand.Rand, n int, p *machineProc) {
	t := &rules.Attempt{ID: fmt.Sprintf("p%d", n), Class: "probe", Method: "POST", Host: opsHost, Path: f.ops.probed(r) + "1f", Body: fmt.Sprintf("p%d/1", n), Probe: true, LatencyTargetUs: 1e6, LimitUs: 2e6}
	f.try(t, p, f.lastTenant(), nil, 2*time.Second, 0)
}

// try sends one request on a connection of its own and notes all that comes back on it.
func (f *Fleet) try(t *rules.Attempt, p *machineProc, of *tenant, headers map[string]string, left, hang time.Duration) (retry time.Duration) {
	t.Machine, t.Incarnation, t.SentUs = p.name, f.incarnationOf(p.name), clock.NowUs()
	f.note(func(d *rules.Day) { d.Attempts = append(d.Attempts, t) })
	f.noteTenantOf(t, of)
	seen := *t
	defer func() {
		seen.EndUs = clock.NowUs()
		f.note(func(*rules.Day) { *t = seen })
	}()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, frontPort), min(time.Second, left))
	if err != nil {
		return 0
	}
	defer conn.Close()
	give := left
	if hang > 0 && hang < left {
		give = hang
	}
	_ = conn.SetDeadline(time.Now().Add(give))
	req, err := http.NewRequest(t.Method, "http://"+t.Host+t.Path, strings.NewReader(t.Body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Request-Id", t.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Connection", "close")
	if of != nil {
		req.Header.Set("Key", of.key)
	}
	if t.ReceivedChunks > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(t.ReceivedChunks))
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	if err := req.Write(conn); err != nil {
		return 0
	}
	// The whole of it is with the kernel of a machine that runs; a frozen one has its own trouble noted.
	seen.ReadUs = clock.NowUs()
	ended := func() {
		if clock.NowUs() >= seen.SentUs+give.Microseconds()-20_000 {
			seen.HungUp, seen.GaveUp = hang > 0 && hang < left, hang == 0 || hang >= left
		}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		ended()
		return 0
	}
	defer res.Body.Close()
	seen.Status, seen.ResponseID, seen.Seal = res.StatusCode, res.Header.Get("Request-Id"), res.Header.Get("Server-Seal")
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		retry = time.Duration(s * float64(time.Second))
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(res.Body, &seen)
	} else {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		seen.Response, seen.FirstUs = string(raw), clock.NowUs()
	}
	if err != nil {
		ended()
		return retry
	}
	seen.Complete = true
	return retry
}

func readEvents(body io.Reader, t *rules.Attempt) error {
	lines := bufio.NewReader(body)
	n := 0
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			n, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			if t.FirstUs == 0 {
				t.FirstUs = clock.NowUs()
			}
			t.Events = append(t.Events, rules.EventSeen{N: n, Text: line[6:], AtUs: clock.NowUs()})
		case line != "":
			t.Unordered = fmt.Sprintf("a line %q in a stream", line)
		}
	}
}

// routedCauses are the faults of real processes on the platform.
var routedCauses = map[string]func(ctx context.Context, f *Fleet) error{
	"kill-office":         func(_ context.Context, f *Fleet) error { return f.kill(f.any("control-node"), 800*time.Millisecond) },
	"kill-holder":         func(_ context.Context, f *Fleet) error { return f.kill(f.holder(), 800*time.Millisecond) },
	"kill-desk":           func(_ context.Context, f *Fleet) error { return f.kill(f.any("gateway"), 500*time.Millisecond) },
	"freeze-office":       func(_ context.Context, f *Fleet) error { f.freeze(f.any("control-node"), 2*time.Second); return nil },
	"freeze-holder":       func(_ context.Context, f *Fleet) error { f.freeze(f.holder(), 3500*time.Millisecond); return nil },
	"freeze-desk":         func(_ context.Context, f *Fleet) error { f.freeze(f.any("gateway"), 2*time.Second); return nil },
	"term-desk":           func(_ context.Context, f *Fleet) error { return f.term(f.any("gateway")) },
	"term-office":         func(_ context.Context, f *Fleet) error { return f.term(f.any("control-node")) },
	"wipe-office":         func(_ context.Context, f *Fleet) error { return f.wipe(f.any("control-node")) },
	"kill-offices":        func(_ context.Context, f *Fleet) error { return f.killRole("control-node") },
	"kill-everything":     func(_ context.Context, f *Fleet) error { return f.killRole("control-node", "gateway") },
	"crash-replica":       func(_ context.Context, f *Fleet) error { return f.crash(f.anyCard()) },
	"notice-replica":      func(_ context.Context, f *Fleet) error { return f.leave(f.anyCard(), 1500*time.Millisecond) },
	"release-replica":     func(_ context.Context, f *Fleet) error { return f.leave(f.anyCard(), 0) },
	"config-race":         func(ctx context.Context, f *Fleet) error { f.ops.race(ctx); return nil },
	"config-rivals":       func(ctx context.Context, f *Fleet) error { f.ops.rivals(ctx); return nil },
	"config-again":        func(ctx context.Context, f *Fleet) error { f.ops.again(ctx); return nil },
	"bad-config":          func(ctx context.Context, f *Fleet) error { f.ops.bad(ctx); return nil },
	"leave-first-replica": func(_ context.Context, f *Fleet) error { return f.leaveFirst(f.anyCard()) },
	"garbling-replica":    func(_ context.Context, f *Fleet) error { f.garble(); return nil },
	"malformed-replica":   func(_ context.Context, f *Fleet) error { f.sendMalformed(); return nil },
	"hot-tenant":          func(ctx context.Context, f *Fleet) error { f.hot(ctx); return nil },
	"crowd":               func(ctx context.Context, f *Fleet) error { f.crowd(ctx); return nil },
	"ill-replica":         func(_ context.Context, f *Fleet) error { f.ill(); return nil },
}

// FaultNames lists the faults of real processes on the platform.
func FaultNames() []string {
	names := []string{}
	for name := range routedCauses {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *Fleet) any(role string) *machineProc {
	all := f.of(role)
	return all[f.draw(len(all))]
}

func (f *Fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.Intn(n)
}

func (f *Fleet) anyCard() *replica.Host {
	all := f.cards()
	return all[f.draw(len(all))]
}

// holder is whoever gave the last order, as the replicas saw it.
func (f *Fleet) holder() *machineProc {
	f.mu.Lock()
	from := ""
	if n := len(f.day.Orders); n > 0 {
		from = f.day.Orders[n-1].From
	}
	f.mu.Unlock()
	if p := f.procs[from]; p != nil {
		return p
	}
	return f.any("control-node")
}

// ill makes a replica turn requests away and break answers off for a while.
func (f *Fleet) ill() {
	h := f.anyCard()
	over := f.trouble(rules.FaultInterval{Machine: h.ID(), Kind: "ill"})
	h.Ill(func(n int) bool { return n%5 < 2 }, func(n int) bool { return n%7 == 0 })
	time.Sleep(2 * time.Second)
	h.Ill(nil, nil)
	over()
}

// garble makes every replica turn some requests away before it has read their bodies, and send some answers
// without a length, for a while.
func (f *Fleet) garble() {
	all := f.replicas()
	for _, h := range all {
		h.Answers(replica.Shape{Early: func(n int) bool { return n%6 == 0 }, Unframed: func(n int) bool { return n%3 == 0 }})
	}
	time.Sleep(2 * time.Second)
	for _, h := range all {
		h.Answers(replica.Shape{})
	}
}

// sendMalformed makes one replica of each service, one after the other, answer every third request with a malformed response.
func (f *Fleet) sendMalformed() {
	for _, of := range [][]*replica.Host{f.cards(), f.logs()} {
		if len(of) == 0 {
			continue
		}
		h := of[f.draw(len(of))]
		over := f.trouble(rules.FaultInterval{Machine: h.ID(), Kind: "malformed"})
		h.Answers(replica.Shape{Malformed: func(n int) bool { return n%3 == 0 }})
		time.Sleep(2 * time.Second)
		h.Answers(replica.Shape{})
		over()
	}
}

// StartReady starts everything, sends the first configuration, and waits until all gateways are ready.
func (f *Fleet) StartReady(ctx context.Context) error {
	if err := f.Start(); err != nil {
		return err
	}
	return f.configure(ctx)
}

// configure sends the first configuration and waits until all gateways are ready.
func (f *Fleet) configure(ctx context.Context) error {
	first := f.ops.first()
	if f.ops.send(ctx, first, 20*time.Second) != http.StatusOK {
		return errors.New("the first configuration was not taken")
	}
	f.ops.tip = first
	return f.allReady(ctx, 15*time.Second)
}

// Play runs a whole day and judges it.
func (f *Fleet) Play(ctx context.Context, out io.Writer) ([]rules.Breach, map[string]int, error) {
	if err := f.Start(); err != nil {
		return nil, nil, err
	}
	busyCtx, calm := context.WithCancel(ctx)
	defer calm()
	go f.busy(busyCtx)
	if err := f.configure(ctx); err != nil {
		return nil, nil, err
	}
	demandCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		f.demand(demandCtx)
		close(done)
	}()
	opsDone := make(chan struct{})
	changing, quit := context.WithCancel(ctx)
	defer quit()
	changes := make(chan func(), 8)
	go func() {
		defer close(opsDone)
		for {
			select {
			case <-changing.Done():
				return
			case act := <-changes:
				act()
			case <-time.After(1700 * time.Millisecond):
				f.ops.change(ctx)
			}
		}
	}()
	if err := f.faults(ctx, changes); err != nil {
		return nil, nil, err
	}
	quit()
	<-opsDone
	if err := f.allReady(ctx, 20*time.Second); err != nil {
		return nil, nil, err
	}
	if f.plan.Closing {
		f.ops.change(ctx)
		f.note(func(d *rules.Day) { d.Closing = &rules.Closing{AtUs: clock.NowUs(), MajorityDown: true} })
		if err := f.killRole("control-node", "gateway"); err != nil {
			return nil, nil, err
		}
		f.note(func(d *rules.Day) { d.Closing.BackUs = clock.NowUs() })
		time.Sleep(time.Duration(f.day.Bounds.RecoveryUs)*time.Microsecond + 3*time.Second)
	}
	stop()
	<-done
	if err := f.awaitNoOpenAttempts(ctx); err != nil {
		return nil, nil, err
	}
	number, text, came := f.ops.read(ctx)
	calm()
	f.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.day.Read, f.day.EndUs = &rules.FinalRead{Number: number, Sent: text, Received: came}, clock.NowUs()
	for _, t := range f.day.Attempts {
		if !t.Probe && !t.HungUp {
			f.owed++
			if t.Served() {
				f.served++
			}
		}
	}
	f.day.Calls = f.calls.Calls()
	breaches, stakes := rules.Judge(f.day)
	fmt.Fprintf(out, "%d tries, %d of %d served, %d orders, %d versions; at stake %v; faults %v; this box was late by %v at most\n",
		len(f.day.Attempts), f.served, f.owed, len(f.day.Orders), len(f.day.Versions), stakes, f.Caused, f.Late.Round(time.Millisecond))
	if f.plan.Tenants {
		fmt.Fprintf(out, "fullest windows of tenants: %v\n", f.runByTenant())
	}
	return breaches, stakes, nil
}

func (f *Fleet) allReady(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, p := range f.of("gateway") {
			if !f.ready(p) {
				missing = p.name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("%s is not ready after %v", missing, most)
		}
	}
	return ctx.Err()
}

// faults spreads the faults over the span; those of operators wait for their turn among the changes.
func (f *Fleet) faults(ctx context.Context, changes chan<- func()) error {
	end := time.Now().Add(f.plan.Span)
	time.Sleep(min(f.plan.Span/6, 4*time.Second))
	gap := f.plan.Span * 4 / 6 / time.Duration(max(len(f.plan.Faults), 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var bad error
	for _, name := range f.plan.Faults {
		act := routedCauses[name]
		if act == nil {
			return errors.Errorf("no fault %q; there are %s", name, strings.Join(FaultNames(), ", "))
		}
		run := func() {
			err := act(ctx, f)
			if errors.As(err, &fleet.LeftOut{}) {
				return
			}
			if err != nil {
				mu.Lock()
				bad = err
				mu.Unlock()
				return
			}
			f.note(func(*rules.Day) { f.Caused[name]++ })
		}
		wg.Add(1)
		if strings.Contains(name, "config") {
			changes <- func() {
				defer wg.Done()
				run()
			}
		} else {
			go func() {
				defer wg.Done()
				run()
			}()
		}
		time.Sleep(gap)
	}
	wg.Wait()
	time.Sleep(time.Until(end))
	return bad
}
