package quota

import (
	"fmt"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	modelTickUs  = 100 * clock.Ms
	modelLeaseUs = 700 * clock.Ms
	// maxModelLosses is the maximum number of voters that are replaced while they still run.
	maxModelLosses = 1
)

// quotaMutation is a deliberate defect that is injected to check that the model detects it.
type quotaMutation int

const (
	noMutation quotaMutation = iota
	// mutationIgnoreLease: an isolated tail continues to grant tokens after its lease has expired.
	mutationIgnoreLease
	// mutationStartFull: a new tail starts with full buckets, without warm-up.
	mutationStartFull
	// mutationKeepBuckets: a process that becomes the tail again keeps its old buckets although another process has granted tokens
	// meanwhile.
	mutationKeepBuckets
	// mutationReserveOnJoin: a member that replaces a voter grants from its reserve in its first window.
	mutationReserveOnJoin
	// mutationReserveOnRestart: a restarted process grants from its reserve in its first window, although it has lost the record
	// of its earlier grants.
	mutationReserveOnRestart
	// mutationNoShareForLosses: the reserve is divided among the voters alone, without a share for tolerated losses.
	mutationNoShareForLosses
	// mutationAlignedWindows: the reserve is counted in consecutive fixed windows instead of a sliding one.
	mutationAlignedWindows
	// mutationCreditEveryRaise: every increase of the depth adds tokens, also within a window of the last change.
	mutationCreditEveryRaise
)

func allMutations() map[string]quotaMutation {
	return map[string]quotaMutation{
		"tail counts after lease expiry":                    mutationIgnoreLease,
		"new tail starts with full buckets":                 mutationStartFull,
		"buckets are kept although another process counted": mutationKeepBuckets,
		"reserve in a new member's first window":            mutationReserveOnJoin,
		"reserve in the first window after a restart":       mutationReserveOnRestart,
		"no reserve share for losses":                       mutationNoShareForLosses,
		"fixed reserve windows":                             mutationAlignedWindows,
		"tokens for every increase":                         mutationCreditEveryRaise,
	}
}

// modelView is a view of the chain. The tail is the number of a process; the voters are the IDs of members.
type modelView struct {
	number uint64
	tail   int
	voters []int
}

// modelMember is a control node with its current process.
type modelMember struct {
	id, process int
	ledger      *Ledger
	view        modelView
	limit       Limit
	// leaseUntilUs is the time until which a majority accepts no other tail.
	leaseUntilUs int64
	// isolated: the member is partitioned from all others. frozen: its process does not run. replaced: it is no longer a voter and
	// is isolated until reconnectAll.
	isolated, frozen, replaced bool
}

// quotaModel is a small cluster: members with real ledgers, and a chain that models only the property on which the ledgers rely.
// No view with another tail is decided while a lease holds, unless the tail's process has ended or released the lease.
// Gateways either request more tokens than there are or request none. Each gateway reaches every member, even one that is
// isolated from all other members.
type quotaModel struct {
	opts     Options
	mutation quotaMutation
	choose   func(n int) int
	nowUs    int64
	members  []*modelMember
	// view is the newest decided view, and limit the limit in force in it; a negative rate means that the tenant is not declared.
	view         modelView
	limit        Limit
	nextMemberID int
	lastProcess  int
	replacements int
	// renewalsLostUntilUs: the tail's lease renewals are lost up to this time, so that its lease expires, but no other member
	// suspects the tail.
	renewalsLostUntilUs int64
	saturating          bool
	grantLog            grantLog
	granted             int
	takeovers           int
	violation           string
	trace               []string
}

// modelSetting is the limit of the tenant and the slack of the bound.
type modelSetting struct {
	limit Limit
	slack float64
}

// modelSettings has one setting in which the burst dominates the bound, and one in which the allowance does.
var modelSettings = map[string]modelSetting{
	"burst":     {Limit{"t", 2, 30}, 20},
	"allowance": {Limit{"t", 2, 1}, 100},
}

func newQuotaModel(choose func(n int) int, setting modelSetting, mutation quotaMutation) *quotaModel {
	m := &quotaModel{
		opts: Options{WindowUs: testWindowUs, Overshoot: 0.1, Slack: setting.slack, ToleratedLosses: maxModelLosses}, mutation: mutation, choose: choose,
		nowUs: 100 * clock.Sec, limit: setting.limit, saturating: true,
	}
	m.view = modelView{number: 1, tail: 1, voters: []int{0, 1, 2}}
	for range 3 {
		m.addMember(false)
	}
	m.saturating = false
	m.advanceTime(2*testWindowUs + clock.Sec)
	m.saturating = true
	return m
}

func (m *quotaModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%d ms: ", m.nowUs/clock.Ms)+fmt.Sprintf(format, args...))
}

// addMember adds a member with a new process. late reports that the member joins after the initial ones.
func (m *quotaModel) addMember(late bool) {
	member := &modelMember{id: m.nextMemberID}
	m.nextMemberID++
	m.members = append(m.members, member)
	m.startProcess(member, late && m.mutation == mutationReserveOnJoin)
}

// startProcess starts the next process of a member. skipFirstWindow belongs to mutations: the ledger takes the process for one
// that has run for longer than a window.
func (m *quotaModel) startProcess(member *modelMember, skipFirstWindow bool) {
	m.lastProcess++
	member.process, member.leaseUntilUs, member.frozen = m.lastProcess, 0, false
	startedUs := m.nowUs
	if skipFirstWindow {
		startedUs -= 2 * m.opts.WindowUs
	}
	opts := m.opts
	if m.mutation == mutationNoShareForLosses {
		// With one voter, the default of (voters - 1) / 2 tolerated losses is 0; observe sets the divisor.
		opts.ToleratedLosses = 0
	}
	member.ledger = NewLedger(opts, startedUs)
	member.ledger.nowUs = m.nowUs
	if member.view.number == 0 {
		member.view = m.view
	}
	member.limit = Limit{"t", -1, 0}
}

// isReachable reports whether a member's process runs and reaches all other reachable members.
func (m *quotaModel) isReachable(member *modelMember) bool {
	return !member.isolated && !member.frozen && !member.replaced
}

// member returns the member with an ID. Voters are always present.
func (m *quotaModel) member(id int) *modelMember {
	return m.members[slices.IndexFunc(m.members, func(member *modelMember) bool { return member.id == id })]
}

func (m *quotaModel) hasQuorum() bool {
	n := 0
	for _, id := range m.view.voters {
		if m.isReachable(m.member(id)) {
			n++
		}
	}
	return n > len(m.view.voters)/2
}

// tail returns the member whose process is the tail of the newest view, or nil if that process has ended.
func (m *quotaModel) tail() *modelMember {
	for _, member := range m.members {
		if member.process == m.view.tail {
			return member
		}
	}
	return nil
}

// stepChain renews the lease, or decides a view with another tail if that is permitted.
func (m *quotaModel) stepChain() {
	if !m.hasQuorum() || m.nowUs < m.renewalsLostUntilUs {
		return
	}
	tail := m.tail()
	switch {
	case tail != nil && m.isReachable(tail):
		tail.leaseUntilUs = m.nowUs + modelLeaseUs
	case tail == nil || m.nowUs >= tail.leaseUntilUs:
		m.takeOver()
	}
}

// takeOver decides a view with another tail. The lease of the previous tail must have ended.
func (m *quotaModel) takeOver() {
	candidates := []*modelMember{}
	for _, id := range m.view.voters {
		if member := m.member(id); m.isReachable(member) && member.process != m.view.tail {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return
	}
	next := candidates[m.choose(len(candidates))]
	m.takeovers++
	m.view = modelView{number: m.view.number + 1, tail: next.process, voters: m.view.voters}
	m.tracef("member %d is the tail of view %d", next.id, m.view.number)
}

// observe passes a member's current role to its ledger.
func (m *quotaModel) observe(member *modelMember) {
	if m.isReachable(member) {
		member.view = m.view
		m.applyLimit(member)
	}
	l := member.ledger
	counting := member.view.tail == member.process && (m.nowUs < member.leaseUntilUs || (m.mutation == mutationIgnoreLease && l.hasCounted))
	if m.mutation == mutationKeepBuckets && l.hasCounted {
		l.countedView = member.view.number
	}
	previousResetUs := l.bucketsResetUs
	l.SetRole(m.nowUs, Role{Counting: counting, View: member.view.number, Voter: slices.Contains(member.view.voters, member.id), Voters: len(member.view.voters)})
	if m.mutation == mutationStartFull && l.bucketsResetUs != previousResetUs {
		l.bucketsResetUs = m.nowUs - 2*m.opts.WindowUs
	}
	if m.mutation == mutationNoShareForLosses {
		l.opts.ToleratedLosses, l.maxVoters = 1, len(member.view.voters)-1
	}
}

func (m *quotaModel) applyLimit(member *modelMember) {
	if member.limit == m.limit {
		return
	}
	member.limit = m.limit
	l := member.ledger
	if b := l.buckets["t"]; b != nil && m.mutation == mutationCreditEveryRaise {
		b.changedUs -= 2 * m.opts.WindowUs
	}
	if m.limit.RatePerSecond < 0 {
		l.SetLimits(m.nowUs, nil)
		return
	}
	l.SetLimits(m.nowUs, []Limit{m.limit})
}

// recordLargestLimit records the largest limit that any member applies, from which the bound is computed.
func (m *quotaModel) recordLargestLimit() {
	largest := Limit{"t", -1, 0}
	for _, member := range m.members {
		largest.RatePerSecond, largest.Burst = max(largest.RatePerSecond, member.limit.RatePerSecond), max(largest.Burst, member.limit.Burst)
	}
	if changes := m.grantLog.limits; len(changes) == 0 || changes[len(changes)-1].limit != largest {
		m.grantLog.setLimit(m.nowUs, largest)
	}
}

// saturateMember requests more tokens from a member than it has, for gateways that do not reach the tail.
func (m *quotaModel) saturateMember(member *modelMember) {
	if member.frozen || m.violation != "" {
		return
	}
	l := member.ledger
	if m.mutation == mutationAlignedWindows && m.nowUs%m.opts.WindowUs < modelTickUs {
		for _, b := range l.buckets {
			b.reserve = slidingWindow{}
		}
	}
	n := takeTokens(l, m.nowUs, true, 1000)
	if n == 0 {
		return
	}
	m.granted += n
	m.tracef("member %d grants %d", member.id, n)
	m.grantLog.grant(m.nowUs, n)
	m.violation = m.grantLog.violation(m.opts)
}

// step runs one step of the whole cluster.
func (m *quotaModel) step() {
	m.stepChain()
	for _, member := range m.members {
		if !member.frozen {
			m.observe(member)
		}
	}
	m.recordLargestLimit()
	if m.saturating {
		first := m.choose(len(m.members))
		for i := range m.members {
			m.saturateMember(m.members[(first+i)%len(m.members)])
		}
	}
}

func (m *quotaModel) advanceTime(spanUs int64) {
	for endUs := m.nowUs + spanUs; m.nowUs < endUs && m.violation == ""; {
		m.nowUs += modelTickUs
		m.step()
	}
}

// isolate partitions a member from the other members, but not from gateways.
func (m *quotaModel) isolate(member *modelMember) {
	if member != nil {
		m.tracef("member %d is isolated", member.id)
		member.isolated = true
	}
}

func (m *quotaModel) freeze(member *modelMember) {
	if member != nil {
		m.tracef("member %d freezes", member.id)
		member.frozen = true
	}
}

// reconnectAll resumes and reconnects all members. A frozen member first handles its queued requests, before it receives anything
// from other members.
func (m *quotaModel) reconnectAll() {
	m.tracef("all members are connected")
	for _, member := range m.members {
		if member.frozen {
			wasIsolated := member.isolated
			member.frozen, member.isolated = false, true
			m.observe(member)
			m.saturateMember(member)
			member.isolated = wasIsolated
		}
	}
	for _, member := range m.members {
		member.isolated, member.replaced = false, false
	}
}

func (m *quotaModel) restart(member *modelMember) {
	if member == nil || member.replaced {
		return
	}
	m.tracef("member %d restarts", member.id)
	m.startProcess(member, m.mutation == mutationReserveOnRestart)
}

// nonTailVoter returns a voter that is not the tail.
func (m *quotaModel) nonTailVoter() *modelMember {
	candidates := []*modelMember{}
	for _, id := range m.view.voters {
		if member := m.member(id); member.process != m.view.tail {
			candidates = append(candidates, member)
		}
	}
	return candidates[m.choose(len(candidates))]
}

// releaseLease makes the tail release its lease in favor of another tail.
func (m *quotaModel) releaseLease() {
	if tail := m.tail(); tail != nil && m.isReachable(tail) && m.hasQuorum() {
		m.tracef("member %d releases its lease", tail.id)
		tail.leaseUntilUs = 0
		m.takeOver()
	}
}

// nextView decides a view with the same tail.
func (m *quotaModel) nextView() {
	if tail := m.tail(); tail != nil && m.isReachable(tail) && m.hasQuorum() {
		m.view.number++
		m.tracef("view %d has the same tail", m.view.number)
	}
}

// replaceVoter replaces a voter by a new member. The old member runs on, isolated, until reconnectAll.
func (m *quotaModel) replaceVoter() {
	if m.replacements >= maxModelLosses || !m.hasQuorum() {
		return
	}
	lost := m.nonTailVoter()
	lost.isolated = true
	if !m.hasQuorum() {
		lost.isolated = false
		return
	}
	m.replacements++
	lost.replaced = true
	m.transferVote(lost)
}

// replaceEndedVoter ends a voter's process permanently and replaces the voter by a new member.
func (m *quotaModel) replaceEndedVoter() {
	lost := m.nonTailVoter()
	wasFrozen := lost.frozen
	if lost.frozen = true; !m.hasQuorum() {
		lost.frozen = wasFrozen
		return
	}
	m.tracef("member %d ends permanently", lost.id)
	m.members = slices.DeleteFunc(m.members, func(member *modelMember) bool { return member == lost })
	m.transferVote(lost)
}

// transferVote adds a new member and makes it a voter in place of lost.
func (m *quotaModel) transferVote(lost *modelMember) {
	m.addMember(true)
	newest := m.members[len(m.members)-1]
	voters := slices.DeleteFunc(slices.Clone(m.view.voters), func(id int) bool { return id == lost.id })
	m.view = modelView{number: m.view.number + 1, tail: m.view.tail, voters: append(voters, newest.id)}
	m.tracef("member %d replaces voter %d", newest.id, lost.id)
}

// declare changes the limit in force.
func (m *quotaModel) declare(l Limit) {
	m.limit = l
	m.tracef("the limit is %+v", l)
}

// checkConformingTraffic reconnects all members and lets time pass without any request; then no request within the limit may be
// refused.
func (m *quotaModel) checkConformingTraffic(limit Limit) {
	m.saturating = false
	m.reconnectAll()
	m.declare(limit)
	settleUs := modelLeaseUs + m.opts.WindowUs + int64(m.opts.depth(limit)/limit.RatePerSecond*float64(clock.Sec))
	m.advanceTime(settleUs + 2*clock.Sec)
	if m.violation != "" {
		return
	}
	tail := m.tail()
	conforming := limit.Burst
	for n := 0; n < 100; n++ {
		m.advanceTime(modelTickUs)
		conforming = min(limit.Burst, conforming+limit.RatePerSecond*float64(modelTickUs)/float64(clock.Sec))
		count := int(conforming + roundingTolerance)
		if n%7 != 0 {
			count = min(count, 1)
		}
		conforming -= float64(count)
		got := takeTokens(tail.ledger, m.nowUs, false, count)
		if m.granted += got; got != count {
			m.violation = fmt.Sprintf("after recovery the tail granted %d of %d tokens within the limit", got, count)
			return
		}
	}
}
