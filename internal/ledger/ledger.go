package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"petreltide/internal/fault"
	"petreltide/internal/standing"
)

const (
	KeysMost    = 200_000
	ChangesMost = 2_048
)

type Step string

const (
	Load   Step = "load"
	Unload Step = "unload"
)

type Ticket struct {
	Number   uint64 `json:"number"`
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	Replica  string `json:"replica"`
	Inc      string `json:"inc"`
	Step     Step   `json:"step"`
	Unit     string `json:"unit"`
	SizeMb   int64  `json:"sizeMb"`
	Why      string `json:"why,omitempty"`
}

type Grant struct {
	Ticket  uint64 `json:"ticket"`
	Epoch   uint64 `json:"epoch"`
	Desk    string `json:"desk"`
	DeskInc string `json:"deskInc"`
	Replica string `json:"replica"`
	Inc     string `json:"inc"`
	Model   string `json:"model"`
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
}

func (g Grant) Key() string { return g.Desk + "|" + g.Replica + "|" + g.Model }

type GrantAsk struct {
	Desk    string `json:"desk"`
	DeskInc string `json:"deskInc"`
	Replica string `json:"replica"`
	Inc     string `json:"inc"`
	Model   string `json:"model"`
	Count   uint64 `json:"count"`
}

type Replica struct {
	ID      string           `json:"id"`
	Inc     string           `json:"inc"`
	Addr    string           `json:"addr"`
	Zone    string           `json:"zone"`
	RoomMb  int64            `json:"roomMb"`
	Slots   int              `json:"slots"`
	Leaving bool             `json:"leaving,omitempty"`
	LeftMs  int64            `json:"leftMs,omitempty"`
	Dark    bool             `json:"dark,omitempty"`
	Service string           `json:"service,omitempty"`
	Holds   map[string]int64 `json:"holds"`
	Index   uint64           `json:"index,omitempty"`
	// Orders is how many orders this life had taken when it held just Holds; nil where that is not known.
	Orders *uint64 `json:"orders,omitempty"`
	// Had are the models that this life has held at some time: they come back from its own disk.
	Had     map[string]bool `json:"had,omitempty"`
	NextLeg uint64          `json:"nextLeg"`
	Shares  map[string]int  `json:"shares,omitempty"`
}

func (r *Replica) Usable(d *standing.Declaration) bool {
	return !r.Leaving && !r.Dark && r.Inc != "" && (d == nil || !d.IsEmptied(r.Zone))
}

type KeyRow struct {
	Desk    string `json:"desk"`
	DeskInc string `json:"deskInc"`
	Call    string `json:"call"`
	Ended   string `json:"ended,omitempty"`
	Index   uint64 `json:"index"`
}

type Change struct {
	ID     string        `json:"id"`
	Origin string        `json:"origin,omitempty"`
	Epoch  uint64        `json:"epoch,omitempty"`
	Config *ConfigChange `json:"config,omitempty"`
	Claim  *Claim        `json:"claim,omitempty"`
	Duty   *Duty         `json:"duty,omitempty"`
	Key    *KeyChange    `json:"key,omitempty"`
	Member *MemberChange `json:"member,omitempty"`
}

type MemberAct string

const (
	AddMember     MemberAct = "add"
	ReplaceMember MemberAct = "replace"
	RemoveMember  MemberAct = "remove"
	CancelMember  MemberAct = "cancel"
	MemberDone    MemberAct = "done"
)

// MemberChange is an operator's order about one office; ID is the identity that has to go. One at a
// time stands in the ledger until the view has carried it out.
type MemberChange struct {
	Act  MemberAct `json:"act"`
	Name string    `json:"name"`
	ID   string    `json:"id,omitempty"`
}

// ConfigChange is a whole declaration, or an edit of the one in force. With a version of the operators'
// own, Base is the version it builds on, and the same order sent again is known by the change's id.
type ConfigChange struct {
	Base    uint64                `json:"base"`
	Version uint64                `json:"version,omitempty"`
	Doc     *standing.Declaration `json:"doc,omitempty"`
	Edit    *standing.Edit        `json:"edit,omitempty"`
}

type Claim struct {
	Holder string `json:"holder"`
}

type Duty struct {
	Fleet   []ReplicaNote             `json:"fleet,omitempty"`
	Gone    []string                  `json:"gone,omitempty"`
	Tickets []Ticket                  `json:"tickets,omitempty"`
	Settled []Settled                 `json:"settled,omitempty"`
	Grants  []GrantAsk                `json:"grants,omitempty"`
	Shares  map[string]map[string]int `json:"shares,omitempty"`
	Desks   []string                  `json:"goneDesks,omitempty"`
	Forget  uint64                    `json:"forgetKeysBefore,omitempty"`
	Checked uint64                    `json:"checkedInView,omitempty"`
}

func (d *Duty) Blank() bool {
	return len(d.Fleet)+len(d.Gone)+len(d.Tickets)+len(d.Settled)+len(d.Grants)+len(d.Shares)+len(d.Desks) == 0 && d.Forget+d.Checked == 0
}

type ReplicaNote struct {
	ID      string    `json:"id"`
	Inc     string    `json:"inc"`
	Addr    string    `json:"addr"`
	Zone    string    `json:"zone"`
	RoomMb  int64     `json:"roomMb"`
	Slots   int       `json:"slots"`
	Leaving bool      `json:"leaving,omitempty"`
	LeftMs  int64     `json:"leftMs,omitempty"`
	Dark    bool      `json:"dark,omitempty"`
	Service string    `json:"service,omitempty"`
	Told    bool      `json:"told,omitempty"`
	Holds   []Holding `json:"holds,omitempty"`
	// Orders is how many orders it had taken when it held just Holds, where that is known.
	Orders *uint64 `json:"orders,omitempty"`
}

type Holding struct {
	Unit   string `json:"unit"`
	SizeMb int64  `json:"sizeMb"`
}

// Settled ends a ticket. With Orders, Holds is all that the replica holds once it has taken that many orders;
// without, nothing is known but that the ticket was done or was not.
type Settled struct {
	Number uint64    `json:"number"`
	Done   bool      `json:"done"`
	Why    string    `json:"why,omitempty"`
	Orders *uint64   `json:"orders,omitempty"`
	Holds  []Holding `json:"holds,omitempty"`
}

type KeyChange struct {
	Key     string `json:"key"`
	Desk    string `json:"desk"`
	DeskInc string `json:"deskInc"`
	Call    string `json:"call"`
	End     string `json:"end,omitempty"`
	Free    bool   `json:"free,omitempty"`
}

type Outcome struct {
	ID       string        `json:"id"`
	Index    uint64        `json:"index"`
	Revision uint64        `json:"revision,omitempty"`
	Fault    *fault.Fault  `json:"fault,omitempty"`
	Key      *KeyRow       `json:"key,omitempty"`
	Again    bool          `json:"again,omitempty"`
	Member   bool          `json:"member,omitempty"`
	Faults   []fault.Fault `json:"faults,omitempty"`
}

type State struct {
	Index     uint64 `json:"index"`
	NewsIndex uint64 `json:"newsIndex"`
	// OrdersIndex is the entry that last changed which orders stand.
	OrdersIndex uint64 `json:"ordersIndex,omitempty"`
	// HoldsIndex is the entry that last changed a replica's row.
	HoldsIndex uint64                `json:"holdsIndex,omitempty"`
	Epoch      uint64                `json:"epoch"`
	Holder     string                `json:"holder"`
	Revision   uint64                `json:"revision"`
	Doc        *standing.Declaration `json:"doc,omitempty"`
	Replicas   map[string]*Replica   `json:"replicas"`
	Pending    map[string]Ticket     `json:"pending"`
	NextTicket uint64                `json:"nextTicket"`
	Grants     map[string]Grant      `json:"grants"`
	Keys       map[string]KeyRow     `json:"keys"`
	KeyOrder   []string              `json:"keyOrder"`
	Changes    map[string]Outcome    `json:"changes"`
	ChangeIDs  []string              `json:"changeIds"`
	// Forgotten is the highest number among taken changes whose outcome is not remembered any more.
	Forgotten uint64 `json:"forgotten,omitempty"`
	// Ahead are refusals of orders that build on a version which may still come.
	Ahead    []RefusedAhead        `json:"ahead,omitempty"`
	Refused  map[fault.Code]uint64 `json:"refused"`
	Edits    []Edited              `json:"edits,omitempty"`
	Member   *MemberChange         `json:"member,omitempty"`
	MemberID string                `json:"memberId,omitempty"`
	Loads    uint64                `json:"loads"`
	LoadedMb int64                 `json:"loadedMb"`
}

func NewState() *State {
	return &State{
		NextTicket: 1, Replicas: map[string]*Replica{}, Pending: map[string]Ticket{},
		Grants: map[string]Grant{}, Keys: map[string]KeyRow{}, Changes: map[string]Outcome{},
		Refused: map[fault.Code]uint64{},
	}
}

func (s *State) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

// Freeze is this state as it stands, for others to read while this one goes on. What is large is
// copied by the map, not by the row; rows never change in place, nor does the order of the keys.
func (s *State) Freeze() *State {
	if s.Doc != nil && s.Doc.Routed() {
		s.Doc.Indexed()
	}
	c := *s
	c.Replicas = make(map[string]*Replica, len(s.Replicas))
	for id, r := range s.Replicas {
		held := *r
		held.Holds, held.Shares, held.Had = maps.Clone(r.Holds), maps.Clone(r.Shares), maps.Clone(r.Had)
		c.Replicas[id] = &held
	}
	c.Pending, c.Grants, c.Keys, c.Changes, c.Refused = maps.Clone(s.Pending), maps.Clone(s.Grants), maps.Clone(s.Keys), maps.Clone(s.Changes), maps.Clone(s.Refused)
	c.KeyOrder, c.ChangeIDs = slices.Clip(s.KeyOrder), slices.Clip(s.ChangeIDs)
	return &c
}

func Decode(raw []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *State) ReplicaIDs() []string {
	return slices.Sorted(maps.Keys(s.Replicas))
}

// TakenMb counts what is held and what may be held: a load in doubt keeps its room,
// and an unload gives its room back only once it is settled.
func (s *State) TakenMb(replica string) int64 {
	r := s.Replicas[replica]
	if r == nil {
		return 0
	}
	var sumMb int64
	for _, mb := range r.Holds {
		sumMb += mb
	}
	if t, ok := s.Pending[replica]; ok && t.Step == Load {
		if _, held := r.Holds[t.Unit]; !held {
			sumMb += t.SizeMb
		}
	}
	return sumMb
}

func (s *State) PendingLoads() int {
	n := 0
	for _, t := range s.Pending {
		if t.Step == Load {
			n++
		}
	}
	return n
}

func (s *State) Apply(index uint64, c Change) Outcome {
	s.Index = index
	out := Outcome{ID: c.ID, Index: index}
	switch {
	case c.Config != nil:
		out = s.applyConfig(out, c)
	case c.Claim != nil:
		s.applyClaim(&out, c)
	case c.Duty != nil:
		s.applyDuty(&out, c)
	case c.Key != nil:
		s.applyKey(&out, c)
	case c.Member != nil:
		out = s.applyMember(out, c)
	}
	if out.Fault != nil {
		s.Refused[out.Fault.Code]++
	}
	for _, f := range out.Faults {
		s.Refused[f.Code]++
	}
	return out
}

func (s *State) applyConfig(out Outcome, c Change) Outcome {
	if first, seen := s.earlierOutcome(c.ID); seen {
		return first
	}
	if c.Config.Version > 0 {
		return s.applyVersion(out, c)
	}
	if s.Version() > 0 {
		out.Fault = fault.New(fault.InvalidConfig, "version", "version %d is in force: send a numbered one", s.Version())
	} else if c.Config.Base != s.Revision {
		if out = s.staleBase(out, c.Config.Base, s.Revision, c.Config.Base+1); out.Fault.Code == fault.InDoubt {
			return out
		}
	} else if f := s.fits(c.Config.Doc); f != nil {
		out.Fault = f
	} else {
		s.Revision++
		s.Doc = c.Config.Doc
		s.NewsIndex = s.Index
		s.dropPassed(s.Revision)
	}
	out.Revision = s.Revision
	s.remember(out)
	return out
}

// Version is the operators' own number of the declaration in force.
func (s *State) Version() uint64 {
	if s.Doc == nil {
		return 0
	}
	return s.Doc.Version
}

// applyVersion takes an operator's numbered version. What was taken is remembered, and so is a refusal that would not
// be given again (see staleBase). Any other refusal is judged anew, and found again: versions only rise, and what is
// invalid on top of one version stays invalid on top of it.
func (s *State) applyVersion(out Outcome, c Change) Outcome {
	out.Revision = s.Version()
	doc := c.Config.Doc
	if c.Config.Base != s.Version() {
		return s.staleBase(out, c.Config.Base, s.Version(), c.Config.Version)
	}
	var bad *fault.Fault
	switch {
	case c.Config.Version <= s.Version():
		bad = fault.New(fault.InvalidConfig, "version", "%d is not above %d", c.Config.Version, s.Version())
	case c.Config.Edit != nil && s.Doc == nil:
		bad = fault.New(fault.InvalidConfig, "", "nothing is in force that could be edited")
	case c.Config.Edit != nil:
		doc, bad = s.Doc.Edited(c.Config.Edit)
	case doc == nil:
		bad = fault.New(fault.InvalidConfig, "", "neither a declaration nor an edit")
	}
	if bad == nil {
		bad = doc.CheckRoutes()
	}
	if bad != nil {
		out.Fault = bad
		return out
	}
	if c.Config.Edit != nil {
		s.keepEdit(Edited{From: s.Revision, Edit: c.Config.Edit})
	} else {
		s.Edits = nil
	}
	s.Revision++
	s.Doc = doc.Indexed()
	s.NewsIndex = s.Index
	out.Revision = s.Version()
	s.dropPassed(s.Version())
	s.remember(out)
	return out
}

const (
	editsMost     = 32
	editBytesMost = 1 << 20
	faultsMost    = 16
)

// Edited is the edit that led from one revision to the next, and what it takes in a copy.
type Edited struct {
	From  uint64         `json:"from"`
	Edit  *standing.Edit `json:"edit"`
	Bytes int            `json:"bytes"`
}

// keepEdit keeps the newest edits, as many as there is room for.
func (s *State) keepEdit(e Edited) {
	raw, err := json.Marshal(e.Edit)
	if err != nil {
		panic(err)
	}
	e.Bytes = len(raw)
	all := append(slices.Clone(s.Edits), e)
	from, bytes := len(all), 0
	for from > 0 && len(all)-from < editsMost && bytes+all[from-1].Bytes <= editBytesMost {
		from--
		bytes += all[from].Bytes
	}
	s.Edits = slices.Clone(all[from:])
}

// EditsSince are the edits that lead from a revision to the one in force; false where they are not kept.
func (s *State) EditsSince(revision uint64) ([]*standing.Edit, bool) {
	edits := []*standing.Edit{}
	for _, e := range s.Edits {
		if e.From >= revision {
			edits = append(edits, e.Edit)
		}
	}
	return edits, revision <= s.Revision && uint64(len(edits)) == s.Revision-revision
}

func (s *State) fits(d *standing.Declaration) *fault.Fault {
	var mostMb int64
	for _, r := range s.Replicas {
		mostMb = max(mostMb, r.RoomMb)
	}
	sheet := &fault.Sheet{}
	if mostMb > 0 {
		for _, m := range d.Models {
			if m.SizeMb > mostMb {
				sheet.Note(fault.InvalidConfig, "models."+m.Name+".sizeMb", "%d MB fits no listed replica (largest %d MB)", m.SizeMb, mostMb)
			}
		}
	}
	return sheet.As(fault.InvalidConfig)
}

func (s *State) applyClaim(out *Outcome, c Change) {
	if c.Epoch != s.Epoch+1 {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "claims %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	s.Epoch = c.Epoch
	s.Holder = c.Claim.Holder
}

func (s *State) applyDuty(out *Outcome, c Change) {
	if c.Epoch != s.Epoch {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "written under %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	sheet := &fault.Sheet{}
	news := false
	for _, n := range c.Duty.Fleet {
		s.noteReplica(n)
		news = true
	}
	for _, id := range c.Duty.Gone {
		s.dropReplica(id)
		news = true
	}
	for _, d := range c.Duty.Settled {
		news = s.settle(d) || news
	}
	for _, t := range c.Duty.Tickets {
		if f := s.issue(c.Epoch, t); f != nil {
			sheet.Add(f)
		}
	}
	s.forgetKeys(c.Duty.Forget)
	for _, desk := range c.Duty.Desks {
		s.dropDesk(desk)
	}
	for _, g := range c.Duty.Grants {
		if f := s.grant(c.Epoch, g); f != nil {
			sheet.Add(f)
			continue
		}
		news = true
	}
	for id, shares := range c.Duty.Shares {
		if r := s.Replicas[id]; r != nil && sumOf(shares) <= r.Slots {
			r.Shares = shares
			news = true
		}
	}
	if news {
		s.NewsIndex = s.Index
	}
	out.Faults = sheet.Faults
}

func sumOf(shares map[string]int) int {
	sum := 0
	for _, n := range shares {
		sum += n
	}
	return sum
}

func (s *State) noteReplica(n ReplicaNote) {
	r := s.Replicas[n.ID]
	if r == nil {
		r = &Replica{ID: n.ID, Holds: map[string]int64{}, NextLeg: 1}
		s.Replicas[n.ID] = r
	}
	if n.Inc != r.Inc {
		s.dropReplica(n.ID)
		r = &Replica{ID: n.ID, Inc: n.Inc, Holds: map[string]int64{}, NextLeg: 1}
		s.Replicas[n.ID] = r
	}
	r.Addr, r.Zone, r.RoomMb, r.Slots = n.Addr, n.Zone, n.RoomMb, n.Slots
	r.Leaving, r.LeftMs, r.Dark, r.Service = n.Leaving, n.LeftMs, n.Dark, n.Service
	r.Index, s.HoldsIndex = s.Index, s.Index
	if n.Told {
		r.hold(n.Holds, n.Orders)
	}
}

// hold sets all that a replica holds, and after how many orders, where that is known.
func (r *Replica) hold(all []Holding, orders *uint64) {
	r.Holds, r.Orders = map[string]int64{}, orders
	for _, h := range all {
		r.Holds[h.Unit] = h.SizeMb
		r.had(h.Unit)
	}
}

func (r *Replica) had(unit string) {
	if r.Service == "" || strings.Contains(unit, "/") {
		return
	}
	if r.Had == nil {
		r.Had = map[string]bool{}
	}
	r.Had[unit] = true
}

func (s *State) dropReplica(id string) {
	delete(s.Replicas, id)
	if _, pending := s.Pending[id]; pending {
		s.OrdersIndex = s.Index
	}
	delete(s.Pending, id)
	for key, g := range s.Grants {
		if g.Replica == id {
			delete(s.Grants, key)
		}
	}
}

func (s *State) dropDesk(id string) {
	for key, g := range s.Grants {
		if g.Desk == id {
			delete(s.Grants, key)
		}
	}
	for _, r := range s.Replicas {
		delete(r.Shares, id)
	}
}

func (s *State) settle(d Settled) bool {
	for id, t := range s.Pending {
		if t.Number != d.Number {
			continue
		}
		delete(s.Pending, id)
		s.OrdersIndex = s.Index
		r := s.Replicas[id]
		if r == nil || r.Inc != t.Inc {
			return false
		}
		if d.Done {
			s.carryOut(r, t)
		}
		r.Orders = nil
		if d.Orders != nil {
			r.hold(d.Holds, d.Orders)
		}
		if !d.Done && d.Orders == nil {
			return false
		}
		r.Index, s.HoldsIndex = s.Index, s.Index
		return true
	}
	return false
}

// carryOut changes what a replica holds as a ticket says.
func (s *State) carryOut(r *Replica, t Ticket) {
	if t.Step == Load {
		r.Holds[t.Unit] = t.SizeMb
		r.had(t.Unit)
		s.Loads++
		s.LoadedMb += t.SizeMb
		return
	}
	delete(r.Holds, t.Unit)
	for unit := range r.Holds {
		if r.Service != "" && strings.HasPrefix(unit, t.Unit+"/") {
			delete(r.Holds, unit)
		}
	}
}

func (s *State) issue(epoch uint64, t Ticket) *fault.Fault {
	r := s.Replicas[t.Replica]
	if r == nil || r.Inc != t.Inc {
		return fault.New(fault.ReplicaUnknown, t.Replica, "no such replica or another incarnation")
	}
	if t.Revision != s.Revision {
		return fault.New(fault.StaleBase, t.Replica, "proposed under revision %d, current is %d", t.Revision, s.Revision)
	}
	if _, busy := s.Pending[t.Replica]; busy {
		return fault.New(fault.ReplicaBusy, t.Replica, "an order is pending")
	}
	_, held := r.Holds[t.Unit]
	switch t.Step {
	case Load:
		if held {
			return fault.New(fault.AlreadyHeld, t.Replica, "%s is already held", t.Unit)
		}
		if s.Doc == nil {
			return fault.New(fault.PolicyNonsense, t.Unit, "no declaration yet")
		}
		sizeMb, known := s.unitMb(r, t.Unit)
		if !known {
			return fault.New(fault.PolicyNonsense, t.Unit, "no such model or adapter")
		}
		t.SizeMb = sizeMb
		if f := s.adapterFits(r, t.Unit); f != nil {
			return f
		}
		if takenMb := s.TakenMb(t.Replica); takenMb+sizeMb > r.RoomMb {
			return fault.New(fault.NoRoom, t.Replica, "%s takes %d MB, %d of %d MB are taken", t.Unit, sizeMb, takenMb, r.RoomMb)
		}
		if !s.Doc.Routed() && s.PendingLoads() >= s.Doc.Store.Loads {
			return fault.New(fault.StoreRate, t.Replica, "%d loads are running", s.PendingLoads())
		}
	case Unload:
		if !held {
			return fault.New(fault.NotHeld, t.Replica, "%s is not held", t.Unit)
		}
		t.SizeMb = r.Holds[t.Unit]
	default:
		return fault.New(fault.PolicyNonsense, t.Replica, "no such step %q", t.Step)
	}
	t.Number, t.Epoch = s.NextTicket, epoch
	s.NextTicket++
	s.Pending[t.Replica] = t
	s.OrdersIndex = s.Index
	if t.Step == Unload {
		s.NewsIndex = s.Index
	}
	return nil
}

func (s *State) unitMb(r *Replica, unit string) (int64, bool) {
	if r.Service != "" {
		sizeMb, _, known := s.Doc.EngineUnitMb(r.Service, unit)
		return sizeMb, known
	}
	sizeMb, _, known := s.Doc.UnitMb(unit)
	return sizeMb, known
}

// adapterFits: an adapter of a service's model needs the model there, and one of the replica's places.
func (s *State) adapterFits(r *Replica, unit string) *fault.Fault {
	model, adapter := standing.Units(unit)
	if r.Service == "" || adapter == "" {
		return nil
	}
	if _, held := r.Holds[model]; !held {
		return fault.New(fault.NotHeld, r.ID, "adapter %s needs model %s there", adapter, model)
	}
	most, n := 0, 0
	if svc := s.Doc.Service(r.Service); svc != nil && svc.Engine != nil {
		most = svc.Engine.AdaptersMost
	}
	for held := range r.Holds {
		if strings.Contains(held, "/") {
			n++
		}
	}
	if n >= most {
		return fault.New(fault.NoRoom, r.ID, "%d of %d places for adapters are taken", n, most)
	}
	return nil
}

func (s *State) grant(epoch uint64, a GrantAsk) *fault.Fault {
	r := s.Replicas[a.Replica]
	if r == nil || r.Inc != a.Inc {
		return fault.New(fault.ReplicaUnknown, a.Replica, "no such replica or another incarnation")
	}
	if a.Count == 0 || a.Count > 1<<20 {
		return fault.New(fault.TicketRefused, a.Replica, "count %d", a.Count)
	}
	g := Grant{
		Ticket: s.NextTicket, Epoch: epoch, Desk: a.Desk, DeskInc: a.DeskInc,
		Replica: a.Replica, Inc: a.Inc, Model: a.Model, From: r.NextLeg, To: r.NextLeg + a.Count,
	}
	s.NextTicket++
	r.NextLeg = g.To
	s.Grants[g.Key()] = g
	return nil
}

// applyMember keeps one order about members at a time, and remembers each like a configuration.
func (s *State) applyMember(out Outcome, c Change) Outcome {
	m := *c.Member
	if m.Act == MemberDone {
		if s.Member != nil && m.Name == s.MemberID {
			s.Member, s.MemberID = nil, ""
		}
		return out
	}
	if first, seen := s.Changes[c.ID]; seen {
		first.Again = true
		return first
	}
	switch {
	case m.Act == CancelMember && s.Member == nil:
		out.Fault = fault.New(fault.MembershipUnfit, "act", "no change of members is under way")
	case m.Act == CancelMember:
		s.Member, s.MemberID = nil, ""
	case s.Member != nil:
		out.Fault = fault.New(fault.MembershipUnfit, "act", "%s %s is under way; one change of members at a time", s.Member.Act, s.Member.Name)
	default:
		s.Member, s.MemberID = &m, c.ID
	}
	out.Revision, out.Member = s.Revision, true
	s.remember(out)
	return out
}

// remember keeps an outcome for the same change sent again, with the first of its faults.
func (s *State) remember(out Outcome) {
	if f := out.Fault; f != nil && len(f.Faults) > faultsMost {
		short := *f
		short.Faults = slices.Clone(f.Faults[:faultsMost])
		out.Fault = &short
	}
	s.Changes[out.ID] = out
	s.ChangeIDs = append(s.ChangeIDs, out.ID)
	s.forgetOldest()
}

func (s *State) applyKey(out *Outcome, c Change) {
	k := c.Key
	row, seen := s.Keys[k.Key]
	mine := seen && row.DeskInc == k.DeskInc && row.Call == k.Call
	switch {
	case k.Free:
		if mine && row.Ended == "" {
			delete(s.Keys, k.Key)
		}
	case k.End != "":
		if mine && row.Ended == "" {
			row.Ended = k.End
			s.Keys[k.Key] = row
		}
	case seen:
		held := row
		out.Key = &held
		out.Again = !mine
	default:
		if len(s.Keys) >= KeysMost {
			out.Fault = fault.New(fault.KeysFull, "key", "%d keys are kept", len(s.Keys))
			return
		}
		row = KeyRow{Desk: k.Desk, DeskInc: k.DeskInc, Call: k.Call, Index: s.Index}
		s.Keys[k.Key] = row
		s.KeyOrder = append(s.KeyOrder, k.Key)
		out.Key = &row
	}
}

func (s *State) forgetKeys(before uint64) {
	for len(s.KeyOrder) > 0 {
		row, kept := s.Keys[s.KeyOrder[0]]
		if kept && row.Index >= before {
			return
		}
		delete(s.Keys, s.KeyOrder[0])
		s.KeyOrder = s.KeyOrder[1:]
	}
}
