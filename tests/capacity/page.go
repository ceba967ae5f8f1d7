package capacity

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"petreltide/internal/api/fault"
)

// CSVFile is where the page's figures are, beside the page.
const CSVFile = "capacity/capacity.csv"

// formula says which terms may explain a quantity, and what the target allows.
type formula struct {
	role, quantity, unit string
	terms                []string
	floor                float64
	allowed              float64
}

// What a node may spend for control, of the target; what a control node's machine is, of the pages' core machines.
const (
	nodeCores        = 0.023
	nodeMb           = 256
	nodeBytes        = 4_096
	controlNodeCores = 0.96
	controlNodeMb    = 280
	controlNodeFds   = 4_096 - 200
	controlNodeBytes = 125_000_000
	heartbeatMsMost  = 1_000
	inForceMsMost    = 11_000
)

func controlNodeFormulas(role string, more ...string) []formula {
	with := func(terms ...string) []string { return append(terms, more...) }
	return []formula{
		{role, "processor", "cores", with("1", "B/O", "P·R", "R", "N·K/O", "F·D", "F·R", "C·F", "L·F", "L·F·R"), 0.01, controlNodeCores},
		{role, "memory", "MB", with("1", "R", "R·P", "F·R", "F·D", "N/O", "M"), 10, controlNodeMb},
		{role, "descriptors", "open", []string{"1", "R/O", "N/O", "P"}, 10, controlNodeFds},
		{role, "bytes in", "B/s", with("1", "B/O", "P·R", "P", "N·K/O", "N/O", "P·E"), 1_000, controlNodeBytes},
		{role, "bytes out", "B/s", []string{"1", "B/O", "P·R", "P", "F·D", "F", "F·L", "C·F", "P·E", "N·K/O"}, 1_000, controlNodeBytes},
		{role, "reads", "1/s", with("1", "B/O", "P", "N/O"), 10, 0},
		{role, "writes", "1/s", []string{"1", "B/O", "P", "F", "F·L", "N/O", "C·F"}, 10, 0},
		{role, "disk writes", "B/s", []string{"1", "C", "L"}, 100, 0},
	}
}

func formulas() []formula {
	all := []formula{
		{"desk's side", "frames in", "1/s", []string{"1", "L", "C"}, 0.1, 0},
		{"desk's side", "bytes in", "B/s", []string{"1", "D", "L", "C", "P"}, 100, 0},
		{"desk's side", "reports out", "1/s", []string{"1"}, 0.1, 0},
		{"desk's side", "bytes out", "B/s", []string{"1", "S", "K"}, 100, 0},
		{"desk's side", "bytes both ways", "B/s", []string{"1", "D", "S", "K", "L", "C", "P"}, 100, nodeBytes},
		{"desk's side", "bytes in of a start", "bytes", []string{"1", "R", "M", "D"}, 1_000, 0},
		{"desk", "processor", "cores", []string{"1", "R", "D", "L", "L·R", "C·R"}, 0.002, nodeCores},
		{"desk", "memory", "MB", []string{"1", "R", "D", "M"}, 5, nodeMb},
		{"desk", "descriptors", "open", []string{"1", "P"}, 5, 0},
	}
	all = append(all, controlNodeFormulas("member")...)
	all = append(all, controlNodeFormulas("tail")...)
	all = append(all, controlNodeFormulas("controller", "N·K")...)
	return append(all, []formula{
		{"member", "replicated state", "bytes", []string{"1", "R", "M", "A", "C"}, 1_000, 0},
		{"replica's side", "heartbeats out", "1/s", []string{"B/R"}, 0.01, 0},
		{"replica's side", "heartbeat bytes out", "B/s", []string{"B/R"}, 10, 0},
		{"replica's side", "heartbeat bytes in", "B/s", []string{"B/R"}, 10, 0},
		{"replica's side", "orders and questions in", "1/s", []string{"L/R"}, 0.001, 0},
		{"replica's side", "heartbeat answered, 99 in 100", "ms", []string{"1", "B/O", "R", "P·R", "F·R"}, 1, heartbeatMsMost},
		{"operator", "first configuration", "bytes", []string{"1", "M"}, 1_000, 0},
		{"operator", "acknowledged, half", "ms", []string{"1", "P", "R", "F·R", "C"}, 1, 0},
		{"operator", "in force at the last desk, longest", "ms", []string{"1", "P", "R", "F", "F·R", "N·R"}, 1, inForceMsMost},
	}...)
}

// bears: every gateway knew every replica, and no more than one heartbeat in fifty went unanswered.
func bears(r *Run) bool {
	whole, _ := r.value("fleet", "all knew all")
	unanswered, measured := r.value("replica's side", "heartbeats unanswered")
	return whole == 1 && measured && unanswered < 0.02
}

// codesOf are the commits measured, the one with most runs first: formulas are fitted to that one alone.
func codesOf(runs []*Run) []string {
	codes, count := []string{}, map[string]int{}
	for _, r := range runs {
		if count[r.code()]++; count[r.code()] == 1 {
			codes = append(codes, r.code())
		}
	}
	slices.SortStableFunc(codes, func(a, b string) int { return cmp.Compare(count[b], count[a]) })
	return codes
}

// clear are the runs that formulas are fitted to, of one commit. The others are where its design stops.
func clear(runs []*Run) (fit, beyond []*Run) {
	codes := codesOf(runs)
	for _, r := range runs {
		if r.code() != codes[0] {
			continue
		}
		if bears(r) {
			fit = append(fit, r)
		} else {
			beyond = append(beyond, r)
		}
	}
	return fit, beyond
}

func targetWith(controlNodes int) (Size, float64) {
	z := Target
	z.ControlNodes = controlNodes
	return z, float64(z.Replicas) * 1000 / float64(z.HeartbeatMs)
}

// reach is the part of the target, in everything but the control nodes, at which a limit is met.
func reach(f *Fit, limit float64, controlNodes int) float64 {
	at := func(share float64) float64 {
		z := Target
		z.ControlNodes = controlNodes
		z.Gateways, z.Replicas = int(float64(z.Gateways)*share+0.5), int(float64(z.Replicas)*share+0.5)
		z.Models, z.Adapters = int(float64(z.Models)*share+0.5), int(float64(z.Adapters)*share+0.5)
		z.Gateways, z.Replicas, z.Models = max(1, z.Gateways), max(1, z.Replicas), max(1, z.Models)
		z.ChangesPerS, z.LoadsPerS = z.ChangesPerS*share, z.LoadsPerS*share
		v, _ := f.At(z, float64(z.Replicas)*1000/float64(z.HeartbeatMs))
		return v
	}
	low, high := 0.002, 10.0
	if at(low) > limit {
		return 0
	}
	if at(high) <= limit {
		return math.Inf(1)
	}
	for range 40 {
		if mid := math.Sqrt(low * high); at(mid) > limit {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

var roleNames = map[string]string{
	"desk's side": "Desk, what goes over its connections (hollow desks with calls under way)", "desk": "Desk, the process (real, without calls)", "member": "Office as member",
	"tail": "Office as tail", "controller": "Office as controller, the head of the chain", "replica's side": "Replica's side of heartbeats and orders", "operator": "Operator's side",
}

const controlNodesFew, controlNodesEach = 5, 11

func formulaTable(runs []*Run) string {
	fit, _ := clear(runs)
	b := &strings.Builder{}
	last := ""
	for _, q := range formulas() {
		f, bad := FitTo(fit, q.role, q.quantity, q.unit, q.terms, q.floor)
		if bad != nil {
			panic(bad)
		}
		if f.Runs == 0 {
			continue
		}
		if q.role != last {
			fmt.Fprintf(b, "\n**%s**\n\n| quantity | formula | runs | error, worst | target, %d offices | %d | %d | allowed | |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", roleNames[q.role], controlNodesFew, controlNodesEach, Target.ControlNodes)
			last = q.role
		}
		values, fits := []string{}, 0
		for _, controlNodes := range []int{controlNodesFew, controlNodesEach, Target.ControlNodes} {
			v, e := f.At(targetWith(controlNodes))
			text := figure(v)
			if e > 0.005*v {
				text += " ± " + figure(e)
			}
			values = append(values, text)
			if v <= q.allowed {
				fits++
			}
		}
		allowed, sign := "", ""
		if q.allowed > 0 {
			allowed = exact(q.allowed)
			switch share := reach(f, q.allowed, controlNodesFew); {
			case fits == 3:
				sign = "✓"
			case fits > 0:
				sign = "✓ with some, ✗ with others"
			case share == 0:
				sign = "✗ from the smallest size on"
			default:
				sign = fmt.Sprintf("✗ from %.2g of the target on", share)
			}
		}
		fmt.Fprintf(b, "| %s, %s | %s | %d | %.0f %%, %.0f %% | %s | %s | %s |\n", q.quantity, q.unit, f, f.Runs, f.RMS*100, f.Worst*100, strings.Join(values, " | "), allowed, sign)
	}
	return b.String()
}

// limitsTable orders all limits by the part of the target at which they are passed.
func limitsTable(runs []*Run) string {
	fit, _ := clear(runs)
	type limit struct {
		share float64
		line  string
	}
	all := []limit{}
	for _, q := range formulas() {
		f, bad := FitTo(fit, q.role, q.quantity, q.unit, q.terms, q.floor)
		if bad != nil {
			panic(bad)
		}
		if f.Runs == 0 || q.allowed == 0 {
			continue
		}
		share := reach(f, q.allowed, controlNodesFew)
		v, _ := f.At(targetWith(controlNodesFew))
		text, sign := "not below ten times the target", "✓"
		switch {
		case share == 0:
			text = "at the smallest size already"
		case !math.IsInf(share, 1):
			text = fmt.Sprintf("%.2g of the target: %d desks, %d replicas", share, int(share*float64(Target.Gateways)), int(share*float64(Target.Replicas)))
		}
		if v > q.allowed {
			sign = "✗"
		}
		all = append(all, limit{share, fmt.Sprintf("| %s | %s, %s | %s | %s | %s | %s |\n", q.role, q.quantity, q.unit, figure(v), exact(q.allowed), sign, text)})
	}
	slices.SortStableFunc(all, func(a, b limit) int { return cmp.Compare(a.share, b.share) })
	b := &strings.Builder{}
	fmt.Fprintf(b, "\n| role | quantity | at the target, %d offices | allowed | | the formula passes it at |\n| --- | --- | --- | --- | --- | --- |\n", controlNodesFew)
	for _, l := range all {
		b.WriteString(l.line)
	}
	return b.String()
}

func axesOf(runs []*Run) []string {
	axes := []string{}
	for _, r := range runs {
		if !slices.Contains(axes, r.Axis) {
			axes = append(axes, r.Axis)
		}
	}
	return axes
}

func runsTable(runs []*Run) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "\n| axis | code | sizes | borne | beyond what an office can do |\n| --- | --- | --- | --- | --- |\n")
	for _, code := range codesOf(runs) {
		for _, axis := range axesOf(runs) {
			sizes, over, n := []string{}, []string{}, 0
			for _, r := range runs {
				if r.Axis != axis || r.code() != code {
					continue
				}
				sizes = append(sizes, figure(along(r)))
				if bears(r) {
					n++
				} else {
					over = append(over, beyondText(r))
				}
			}
			if len(sizes) > 0 {
				fmt.Fprintf(b, "| %s | %s | %s %s | %d | %s |\n", axis, code, strings.Join(sizes, ", "), unitOf(axis), n, strings.Join(over, ", "))
			}
		}
	}
	return b.String()
}

var compared = []struct{ role, quantity, unit string }{
	{"desk's side", "bytes in", "B/s"}, {"desk's side", "bytes out", "B/s"}, {"desk", "processor", "cores"}, {"controller", "processor", "cores"}, {"controller", "bytes out", "B/s"},
	{"member", "processor", "cores"}, {"member", "bytes out", "B/s"}, {"controller", "memory", "MB"},
	{"desk's side", "reports out", "1/s"}, {"replica's side", "heartbeats unanswered", "share"},
}

// sinceTable sets runs of later commits beside those of the same size that the formulas are fitted to.
func sinceTable(runs []*Run) string {
	b := &strings.Builder{}
	codes := codesOf(runs)
	fmt.Fprintf(b, "\n| size | code |")
	for _, c := range compared {
		fmt.Fprintf(b, " %s: %s, %s |", c.role, c.quantity, c.unit)
	}
	fmt.Fprintf(b, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(compared)))
	line := func(r *Run) {
		fmt.Fprintf(b, "| %s | %s |", sizeText(r), r.code())
		for _, c := range compared {
			fmt.Fprintf(b, " %s |", cell(r, c.role, c.quantity))
		}
		fmt.Fprintln(b)
	}
	for _, was := range runs {
		for _, is := range runs {
			if was.code() == codes[0] && is.code() != codes[0] && was.Axis == is.Axis && (was.Axis == "replicas" || was.Axis == "desks") && bears(was) && bears(is) &&
				was.Size.Replicas == is.Size.Replicas && was.Size.Gateways == is.Size.Gateways {
				line(was)
				line(is)
			}
		}
	}
	return b.String()
}

// beyondText says how far a control node got in a run that it could not do.
func beyondText(r *Run) string {
	ran, waited := 0.0, 0.0
	for _, role := range []string{"controller", "member", "tail", silentControlNode} {
		if v, ok := r.value(role, "processor"); ok && v > ran {
			ran = v
			waited, _ = r.value(role, "waited for the machine")
		}
	}
	text := figure(along(r))
	if ran == 0 {
		return text + " (not measured)"
	}
	if waited > 2*ran {
		text += ": the machine was too busy to judge it"
	}
	whole, _ := r.value("fleet", "all knew all")
	unanswered, _ := r.value("replica's side", "heartbeats unanswered")
	return fmt.Sprintf("%s (all known: %s; heartbeats unanswered %.0f %%; busiest office ran %s and waited %s of a second in each)",
		text, map[bool]string{true: "yes", false: "no"}[whole == 1], unanswered*100, figure(ran), figure(waited))
}

func cell(r *Run, role, quantity string) string {
	if v, ok := r.value(role, quantity); ok {
		return figure(v)
	}
	return "–"
}

func sizeText(r *Run) string {
	z := r.Size
	return fmt.Sprintf("%d desks, %d replicas, %d models, %d offices", z.Gateways, z.Replicas, z.Models, z.ControlNodes)
}

var forceAxes = []string{"together", "replicas", "desks", "offices"}

func forceTable(runs []*Run) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "\n| size | code | acknowledged, half, ms | 99 in 100 | after it at a desk, half, ms | 99 in 100 | at the last hollow desk, longest | at a real desk, longest | a region away: first change acknowledged, s | at the last desk in touch, ms | back until its desks have the newest, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, axis := range forceAxes {
		for _, r := range runs {
			if r.Axis != axis {
				continue
			}
			fmt.Fprintf(b, "| %s | %s", sizeText(r), r.code())
			for _, q := range []string{
				"acknowledged, half", "acknowledged, 99 in 100", "in force at a desk after acknowledgement, half", "in force at a desk after acknowledgement, 99 in 100",
				"in force at the last desk, longest", "in force at a real desk, longest",
			} {
				fmt.Fprintf(b, " | %s", cell(r, "operator", q))
			}
			for _, q := range []string{"first change acknowledged", "in force at the last desk, longest", "region back until its desks have the newest"} {
				text := cell(r, regionAway, q)
				if _, stuck := r.value(regionAway, notRecovered); stuck && text == "–" {
					text = "not in 40 s"
				}
				fmt.Fprintf(b, " | %s", text)
			}
			fmt.Fprintf(b, " |\n")
		}
	}
	return b.String()
}

// recoveries are what a fleet does again after a fault.
var recoveries = []string{"changes taken again", "orders sent again", "every desk follows two offices and has the newest", "every heartbeat acknowledged again"}

func recoveryTable(runs []*Run) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "\n| size | code | what happened | changes taken again, s | orders sent again, s | every desk in touch follows two offices and has the newest, s | every heartbeat acknowledged again, s |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range runs {
		for _, name := range []string{killOne, loseZone, killAll} {
			any := false
			line := []string{}
			for _, q := range recoveries {
				v, ok := r.value(name, q)
				_, late := r.value(name, tooLate+q)
				any = any || ok || late
				text := "not in 40"
				if ok {
					text = figure(v)
				}
				line = append(line, text)
			}
			if any {
				fmt.Fprintf(b, "| %s | %s | %s | %s |\n", sizeText(r), r.code(), strings.ReplaceAll(name, "-", " "), strings.Join(line, " | "))
			}
		}
	}
	return b.String()
}

func lettersTable([]*Run) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "\n| letter | what | at the target |\n| --- | --- | --- |\n")
	z, beatS := targetWith(Target.ControlNodes)
	for _, l := range Letters {
		v, _ := letter([]rune(l.Letter)[0], z, beatS)
		fmt.Fprintf(b, "| %s | %s | %s |\n", l.Letter, l.Meaning, figure(v))
	}
	return b.String()
}

var tables = []struct {
	name  string
	write func([]*Run) string
}{
	{"letters", lettersTable}, {"runs", runsTable}, {"limits", limitsTable}, {"formulas", formulaTable}, {"since", sinceTable}, {"in-force", forceTable}, {"recovery", recoveryTable},
}

// TableNames are the tables that the page must have.
func TableNames() []string {
	names := []string{}
	for _, t := range tables {
		names = append(names, t.name)
	}
	return append(names, "sweeps")
}

// sweepText is what the users' bench printed at the end of its sweeps, as it was kept beside the CSV.
func sweepText(folder string) string {
	names, _ := filepath.Glob(filepath.Join(folder, "sweep-*.txt"))
	b := &strings.Builder{}
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		_, figures, ok := strings.Cut(string(raw), "\nday  ")
		if !ok {
			continue
		}
		fmt.Fprintf(b, "\n`%s`:\n\n```\nday  %s\n```\n", filepath.Base(name), strings.TrimSpace(figures))
	}
	return b.String()
}

// Filled is the page with its tables as the runs give them, and the sweeps as the folder has them.
func Filled(page string, runs []*Run, folder string) (string, *fault.Fault) {
	put := func(name, text string) *fault.Fault {
		begin, end := "<!-- table "+name+" -->", "<!-- end "+name+" -->"
		head, rest, ok := strings.Cut(page, begin)
		_, tail, ended := strings.Cut(rest, end)
		if !ok || !ended {
			return fault.New(fault.BadField, name, "the page has no %s … %s", begin, end)
		}
		page = head + begin + "\n" + text + "\n" + end + tail
		return nil
	}
	for _, t := range tables {
		if bad := put(t.name, t.write(runs)); bad != nil {
			return "", bad
		}
	}
	if bad := put("sweeps", sweepText(folder)); bad != nil {
		return "", bad
	}
	return page, nil
}

// WritePage writes the tables of a page anew from the CSV beside it.
func WritePage(path string) (changed bool, err error) {
	file := filepath.Join(filepath.Dir(path), CSVFile)
	runs, err := LoadCSV(file)
	if err != nil {
		return false, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return false, fault.New(fault.NotFound, path, "%v", err)
	}
	filled, bad := Filled(string(raw), runs, filepath.Dir(file))
	if bad != nil {
		return false, bad
	}
	if filled == string(raw) {
		return false, nil
	}
	if err := os.WriteFile(path, []byte(filled), 0o644); err != nil {
		return false, fault.New(fault.DataNotWritable, path, "%v", err)
	}
	return true, nil
}
