package quota

import (
	"fmt"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	modelTickUs  = 100 * clock.Ms
	modelLeaseUs = 700 * clock.Ms
	// modelLosses is how many members may be replaced and run on.
	modelLosses = 1
)

// quotaPlant is a fault that is built into the model on purpose, to show that it is found.
type quotaPlant int

const (
	noPlant quotaPlant = iota
	// plantLeaseIgnored: a tail that is cut off counts on after its lease.
	plantLeaseIgnored
	// plantFullStart: a new tail's books begin full.
	plantFullStart
	// plantBooksKept: a tail that comes back keeps its books though another has counted.
	plantBooksKept
	// plantNoFirstWindow: a member that takes the vote of a lost one grants from its reserve at once.
	plantNoFirstWindow
	// plantReserveAfterRestart: a restarted process goes on as if it had run before, but knows nothing of what it granted.
	plantReserveAfterRestart
	// plantNoPartForLosses: the reserve is divided among the voters alone.
	plantNoPartForLosses
	// plantAlignedWindows: the reserve is counted in windows that follow each other.
	plantAlignedWindows
	// plantCreditForEveryRaise: the tokens of a larger depth are added at each change.
	plantCreditForEveryRaise
)

func allPlants() map[string]quotaPlant {
	return map[string]quotaPlant{
		"the lease is ignored": plantLeaseIgnored, "a new tail starts full": plantFullStart, "books are kept over another's": plantBooksKept,
		"no first window": plantNoFirstWindow, "reserve after a restart": plantReserveAfterRestart, "no part for losses": plantNoPartForLosses,
		"aligned windows": plantAlignedWindows, "credit for every raise": plantCreditForEveryRaise,
	}
}

// modelView is a view as members know it. The tail is a process, voters are members.
type modelView struct {
	number uint64
	tail   int
	voters []int
}

// modelMember is a control node with its newest process.
type modelMember struct {
	id, process int
	ledger      *Ledger
	view        modelView
	limit       Limit
	// leaseUntilUs is until when a majority has promised to accept no other tail.
	leaseUntilUs int64
	// cut off from all others, frozen, or replaced and cut off for good.
	cut, frozen, replaced bool
}

// quotaModel is a small fleet: members that count by real ledgers, and a chain of which only what they rely on is modelled:
// no view with another tail is decided while a lease holds, unless its process has ended or has given it up. Gateways are
// greedy, or ask for nothing; any of them reaches any member, also one that no other member reaches.
type quotaModel struct {
	opts    Options
	plant   quotaPlant
	choose  func(n int) int
	nowUs   int64
	members []*modelMember
	// view is the newest that was decided, limit the one in force there; a rate below 0 stands for a tenant that is not declared.
	view         modelView
	limit        Limit
	joined       int
	processes    int
	replacements int
	// silentUntilUs: nothing that the tail asks for arrives up to then, so that its lease lapses, and nobody suspects it.
	silentUntilUs int64
	greedy        bool
	spending      spending
	granted       int
	takeovers     int
	broken        string
	trace         []string
}

// modelSetting is a tenant's limit and the bound.
type modelSetting struct {
	limit Limit
	slack float64
}

// modelSettings: one in which the burst is most of the bound, and one in which the allowance is.
var modelSettings = map[string]modelSetting{
	"burst":     {Limit{"t", 2, 30}, 20},
	"allowance": {Limit{"t", 2, 1}, 100},
}

func newQuotaModel(choose func(n int) int, setting modelSetting, plant quotaPlant) *quotaModel {
	m := &quotaModel{
		opts: Options{WindowUs: testWindowUs, Overshoot: 0.1, Slack: setting.slack, ToleratedLosses: modelLosses}, plant: plant, choose: choose,
		nowUs: 100 * clock.Sec, limit: setting.limit, greedy: true,
	}
	m.view = modelView{number: 1, tail: 1, voters: []int{0, 1, 2}}
	for range 3 {
		m.join(false)
	}
	m.greedy = false
	m.pass(2*testWindowUs + clock.Sec)
	m.greedy = true
	return m
}

func (m *quotaModel) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%d ms: ", m.nowUs/clock.Ms)+fmt.Sprintf(format, args...))
}

// join adds a member with a new process.
func (m *quotaModel) join(late bool) {
	member := &modelMember{id: m.joined}
	m.joined++
	m.members = append(m.members, member)
	m.begin(member, late && m.plant == plantNoFirstWindow)
}

// begin starts a member's next process; experienced is a plant: it counts as one that has run for long.
func (m *quotaModel) begin(member *modelMember, experienced bool) {
	m.processes++
	member.process, member.leaseUntilUs, member.frozen = m.processes, 0, false
	startedUs := m.nowUs
	if experienced {
		startedUs -= 2 * m.opts.WindowUs
	}
	opts := m.opts
	if m.plant == plantNoPartForLosses {
		// (voters - 1) / 2 of one voter is no loss: the share is divided below.
		opts.ToleratedLosses = 0
	}
	member.ledger = NewLedger(opts, startedUs)
	member.ledger.nowUs = m.nowUs
	if member.view.number == 0 {
		member.view = m.view
	}
	member.limit = Limit{"t", -1, 0}
}

// inTouch says that a member's process runs and reaches the others that are in touch.
func (m *quotaModel) inTouch(member *modelMember) bool {
	return !member.cut && !member.frozen && !member.replaced
}

// member is the one of an identity; voters have not ended.
func (m *quotaModel) member(id int) *modelMember {
	return m.members[slices.IndexFunc(m.members, func(member *modelMember) bool { return member.id == id })]
}

func (m *quotaModel) hasQuorum() bool {
	n := 0
	for _, id := range m.view.voters {
		if m.inTouch(m.member(id)) {
			n++
		}
	}
	return n > len(m.view.voters)/2
}

// tail is the member whose process is the tail of the newest view; nil where that process has ended.
func (m *quotaModel) tail() *modelMember {
	for _, member := range m.members {
		if member.process == m.view.tail {
			return member
		}
	}
	return nil
}

// chain renews the lease, or decides on another tail where that may be.
func (m *quotaModel) chain() {
	if !m.hasQuorum() || m.nowUs < m.silentUntilUs {
		return
	}
	tail := m.tail()
	switch {
	case tail != nil && m.inTouch(tail):
		tail.leaseUntilUs = m.nowUs + modelLeaseUs
	case tail == nil || m.nowUs >= tail.leaseUntilUs:
		m.takeOver()
	}
}

// takeOver decides on a view with another tail. It is for when the lease of the one before has ended.
func (m *quotaModel) takeOver() {
	fit := []*modelMember{}
	for _, id := range m.view.voters {
		if member := m.member(id); m.inTouch(member) && member.process != m.view.tail {
			fit = append(fit, member)
		}
	}
	if len(fit) == 0 {
		return
	}
	next := fit[m.choose(len(fit))]
	m.takeovers++
	m.view = modelView{number: m.view.number + 1, tail: next.process, voters: m.view.voters}
	m.note("member %d is the tail of view %d", next.id, m.view.number)
}

// observe tells a member's ledger what it is.
func (m *quotaModel) observe(member *modelMember) {
	if m.inTouch(member) {
		member.view = m.view
		m.setLimit(member)
	}
	l := member.ledger
	counting := member.view.tail == member.process && (m.nowUs < member.leaseUntilUs || (m.plant == plantLeaseIgnored && l.hasCounted))
	if m.plant == plantBooksKept && l.hasCounted {
		l.countedView = member.view.number
	}
	had := l.booksSinceUs
	l.SetRole(m.nowUs, Role{Counting: counting, View: member.view.number, Voter: slices.Contains(member.view.voters, member.id), Voters: len(member.view.voters)})
	if m.plant == plantFullStart && l.booksSinceUs != had {
		l.booksSinceUs = m.nowUs - 2*m.opts.WindowUs
	}
	if m.plant == plantNoPartForLosses {
		l.opts.ToleratedLosses, l.maxVoters = 1, len(member.view.voters)-1
	}
}

func (m *quotaModel) setLimit(member *modelMember) {
	if member.limit == m.limit {
		return
	}
	member.limit = m.limit
	l := member.ledger
	if b := l.books["t"]; b != nil && m.plant == plantCreditForEveryRaise {
		b.changedUs -= 2 * m.opts.WindowUs
	}
	if m.limit.RatePerSecond < 0 {
		l.SetLimits(m.nowUs, nil)
		return
	}
	l.SetLimits(m.nowUs, []Limit{m.limit})
}

// noteLimit records the largest limit that any member goes by, for the bound.
func (m *quotaModel) noteLimit() {
	most := Limit{"t", -1, 0}
	for _, member := range m.members {
		most.RatePerSecond, most.Burst = max(most.RatePerSecond, member.limit.RatePerSecond), max(most.Burst, member.limit.Burst)
	}
	if had := m.spending.limits; len(had) == 0 || had[len(had)-1].limit != most {
		m.spending.setLimit(m.nowUs, most)
	}
}

// askMember lets gateways that do not reach the tail ask a member for more than there is.
func (m *quotaModel) askMember(member *modelMember) {
	if member.frozen || m.broken != "" {
		return
	}
	l := member.ledger
	if m.plant == plantAlignedWindows && m.nowUs%m.opts.WindowUs < modelTickUs {
		for _, b := range l.books {
			b.reserve = slidingWindow{}
		}
	}
	n := grantedOf(l, m.nowUs, true, 1000)
	if n == 0 {
		return
	}
	m.granted += n
	m.note("member %d grants %d", member.id, n)
	m.spending.grant(m.nowUs, n)
	m.broken = m.spending.broken(m.opts)
}

// step is one moment of the whole fleet.
func (m *quotaModel) step() {
	m.chain()
	for _, member := range m.members {
		if !member.frozen {
			m.observe(member)
		}
	}
	m.noteLimit()
	if m.greedy {
		first := m.choose(len(m.members))
		for i := range m.members {
			m.askMember(m.members[(first+i)%len(m.members)])
		}
	}
}

func (m *quotaModel) pass(spanUs int64) {
	for endUs := m.nowUs + spanUs; m.nowUs < endUs && m.broken == ""; {
		m.nowUs += modelTickUs
		m.step()
	}
}

// cut cuts a member off from the others, not from gateways.
func (m *quotaModel) cut(member *modelMember) {
	if member != nil {
		m.note("member %d is cut off", member.id)
		member.cut = true
	}
}

func (m *quotaModel) freeze(member *modelMember) {
	if member != nil {
		m.note("member %d freezes", member.id)
		member.frozen = true
	}
}

// heal wakes all and joins all again. A frozen one answers first what lies before it, before it hears anything.
func (m *quotaModel) heal() {
	m.note("all are in touch")
	for _, member := range m.members {
		if member.frozen {
			cut := member.cut
			member.frozen, member.cut = false, true
			m.observe(member)
			m.askMember(member)
			member.cut = cut
		}
	}
	for _, member := range m.members {
		member.cut, member.replaced = false, false
	}
}

func (m *quotaModel) restart(member *modelMember) {
	if member == nil || member.replaced {
		return
	}
	m.note("member %d restarts", member.id)
	m.begin(member, m.plant == plantReserveAfterRestart)
}

// other is a voter that is not the tail.
func (m *quotaModel) other() *modelMember {
	fit := []*modelMember{}
	for _, id := range m.view.voters {
		if member := m.member(id); member.process != m.view.tail {
			fit = append(fit, member)
		}
	}
	return fit[m.choose(len(fit))]
}

// release lets the tail give its lease up for another.
func (m *quotaModel) release() {
	if tail := m.tail(); tail != nil && m.inTouch(tail) && m.hasQuorum() {
		m.note("member %d gives its lease up", tail.id)
		tail.leaseUntilUs = 0
		m.takeOver()
	}
}

// nextView decides on a view with the same tail.
func (m *quotaModel) nextView() {
	if tail := m.tail(); tail != nil && m.inTouch(tail) && m.hasQuorum() {
		m.view.number++
		m.note("view %d has the same tail", m.view.number)
	}
}

// replace gives a voter's vote to a new member; the old one runs on, cut off, until all is healed.
func (m *quotaModel) replace() {
	if m.replacements >= modelLosses || !m.hasQuorum() {
		return
	}
	lost := m.other()
	lost.cut = true
	if !m.hasQuorum() {
		lost.cut = false
		return
	}
	m.replacements++
	lost.replaced = true
	m.giveVote(lost)
}

// succeed ends a voter for good and gives its vote to a new member.
func (m *quotaModel) succeed() {
	lost := m.other()
	frozen := lost.frozen
	if lost.frozen = true; !m.hasQuorum() {
		lost.frozen = frozen
		return
	}
	m.note("member %d ends for good", lost.id)
	m.members = slices.DeleteFunc(m.members, func(member *modelMember) bool { return member == lost })
	m.giveVote(lost)
}

// giveVote lets a new member join and gives it the vote of a lost one.
func (m *quotaModel) giveVote(lost *modelMember) {
	m.join(true)
	newest := m.members[len(m.members)-1]
	voters := slices.DeleteFunc(slices.Clone(m.view.voters), func(id int) bool { return id == lost.id })
	m.view = modelView{number: m.view.number + 1, tail: m.view.tail, voters: append(voters, newest.id)}
	m.note("member %d has the vote of member %d", newest.id, lost.id)
}

// declare puts another limit into force.
func (m *quotaModel) declare(l Limit) {
	m.limit = l
	m.note("the limit is %+v", l)
}

// calm joins all again and lets time go by without any request; then a tenant within its limit is refused nothing.
func (m *quotaModel) calm(limit Limit) {
	m.greedy = false
	m.heal()
	m.declare(limit)
	settleUs := modelLeaseUs + m.opts.WindowUs + int64(m.opts.depth(limit)/limit.RatePerSecond*float64(clock.Sec))
	m.pass(settleUs + 2*clock.Sec)
	if m.broken != "" {
		return
	}
	tail := m.tail()
	conforming := limit.Burst
	for n := 0; n < 100; n++ {
		m.pass(modelTickUs)
		conforming = min(limit.Burst, conforming+limit.RatePerSecond*float64(modelTickUs)/float64(clock.Sec))
		count := int(conforming + rounding)
		if n%7 != 0 {
			count = min(count, 1)
		}
		conforming -= float64(count)
		got := grantedOf(tail.ledger, m.nowUs, false, count)
		if m.granted += got; got != count {
			m.broken = fmt.Sprintf("in calm the tail grants %d of %d within the limit", got, count)
			return
		}
	}
}
