package simulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// digestFile holds the digests that the code of commit 11c16aa gave, a line a day.
const digestFile = "testdata/digests.txt"

// digester sums up a day: when events ran, what was sent, ordered and applied as JSON, and what came of it.
type digester struct {
	events, sent, came hash.Hash
}

func newDigester() *digester {
	return &digester{events: sha256.New(), sent: sha256.New(), came: sha256.New()}
}

func (d *digester) trace(atUs int64, kind string, what any) {
	if seq, ok := what.(uint64); ok {
		_ = binary.Write(d.events, binary.LittleEndian, [2]uint64{uint64(atUs), seq})
		return
	}
	raw, err := json.Marshal(what)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(d.sent, "%d %s %s\n", atUs, kind, raw)
}

// end adds what came of a day, by the order of the fields and not by their names.
func (d *digester) end(what ...any) {
	var text bytes.Buffer
	for _, w := range what {
		values(&text, reflect.ValueOf(w))
	}
	_, _ = d.came.Write(text.Bytes())
}

func (d *digester) line(kind string, seed int64, events int) string {
	return fmt.Sprintf("%s %d events %d %x sent %x came %x", kind, seed, events, d.events.Sum(nil)[:6], d.sent.Sum(nil)[:6], d.came.Sum(nil)[:6])
}

// values writes the values of all exported fields.
func values(to *bytes.Buffer, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			to.WriteString("nil ")
			return
		}
		values(to, v.Elem())
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(to, "[%d ", v.Len())
		for i := range v.Len() {
			values(to, v.Index(i))
		}
	case reflect.Map:
		rows := []string{}
		for _, key := range v.MapKeys() {
			var row bytes.Buffer
			values(&row, key)
			values(&row, v.MapIndex(key))
			rows = append(rows, row.String())
		}
		slices.Sort(rows)
		fmt.Fprintf(to, "{%q ", rows)
	case reflect.Struct:
		to.WriteString("( ")
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				values(to, v.Field(i))
			}
		}
		to.WriteString(") ")
	default:
		fmt.Fprintf(to, "%v ", v.Interface())
	}
}

// counts are the numbers of a map in order, whatever the keys are called.
func counts(m map[string]int) []int {
	out := []int{}
	for _, n := range m {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func declaredDigest(seed int64) string {
	d, p := newDigester(), plan(seed, 7)
	p.Trace = d.trace
	out := RunDeclared(p)
	d.end(len(out.Breaches), out.Calls, out.Ended, out.Results, out.Loads, out.LoadMb, out.Fetches, out.Codes, counts(out.Caused), counts(out.ChecksAtStake))
	return d.line("declared", seed, out.Events)
}

func routedDigest(seed int64) string {
	d, p := newDigester(), routedPlan(seed, 7)
	p.Trace = d.trace
	out := RunRouted(p)
	seen := out.Observed
	d.end(len(out.Breaches), out.Attempts, out.Served, out.Offered, out.Loads, out.Statuses, counts(out.Caused), counts(out.ChecksAtStake),
		seen.Attempts, seen.Arrivals, seen.Orders, seen.Loads, seen.Versions, seen.Deregistrations, seen.Calls, seen.EndUs)
	return d.line("routed", seed, out.Events)
}

// TestDaysAreAsRecorded plays seeded days and compares their digests with those of the code before its names changed. It
// runs where PETRELTIDE_DIGESTS gives a range of seeds, as "1-50"; with PETRELTIDE_DIGESTS_TO it writes the lines to that
// file instead.
func TestDaysAreAsRecorded(t *testing.T) {
	a, b, ok := strings.Cut(os.Getenv("PETRELTIDE_DIGESTS"), "-")
	if !ok {
		t.Skip("PETRELTIDE_DIGESTS names no seeds")
	}
	from, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	to, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]bool{}
	path := os.Getenv("PETRELTIDE_DIGESTS_TO")
	if path == "" {
		raw, err := os.ReadFile(digestFile)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(raw)) {
			recorded[strings.TrimSpace(line)] = true
		}
	}
	lines := make([]string, 2*(to-from+1))
	t.Run("days", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			for i, digest := range []func(int64) string{declaredDigest, routedDigest} {
				t.Run(fmt.Sprintf("%s-%d", []string{"declared", "routed"}[i], seed), func(t *testing.T) {
					t.Parallel()
					line := digest(seed)
					lines[2*(seed-from)+int64(i)] = line
					if path == "" && !recorded[line] {
						t.Errorf("not as recorded: %s", line)
					}
				})
			}
		}
	})
	if path == "" {
		return
	}
	slices.Sort(lines)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}
