package golden

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// updating says to write the files anew. It is set for a form that is added, or changed on purpose.
var updating = os.Getenv("PETRELTIDE_GOLDEN") == "update"

// form is what JSON makes of a type: of its zero value and of one with every field set.
type form struct {
	Label string          `json:"label"`
	Zero  json.RawMessage `json:"zero"`
	Full  json.RawMessage `json:"full"`
}

const formsFile = "testdata/forms.jsonl"

func readForms(t *testing.T) map[string]form {
	t.Helper()
	raw, err := os.ReadFile(formsFile)
	if err != nil {
		t.Fatal(err)
	}
	read := map[string]form{}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var f form
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			t.Fatal(err)
		}
		read[f.Label] = f
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return read
}

func encoded(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newForm is the form that today's code gives a type.
func newForm(t *testing.T, label string, of reflect.Type) form {
	t.Helper()
	value, err := filled(of)
	if err != nil {
		t.Fatal(err)
	}
	return form{label, encoded(t, reflect.New(of).Interface()), encoded(t, value.Addr().Interface())}
}

func TestFormsStayAsTheyAre(t *testing.T) {
	if updating {
		writeForms(t)
	}
	recorded, seen := readForms(t), map[string]bool{}
	for _, c := range forms {
		t.Run(c.label, func(t *testing.T) {
			if seen[c.label] {
				t.Fatal("two types have this label")
			}
			seen[c.label] = true
			want, ok := recorded[c.label]
			if !ok {
				t.Fatalf("%s has no line for it", formsFile)
			}
			of := reflect.TypeOf(c.value)
			if diff := cmp.Diff(string(want.Zero), string(encoded(t, reflect.New(of).Interface()))); diff != "" {
				t.Errorf("zero value (-recorded +today):\n%s", diff)
			}
			if got := newForm(t, c.label, of); !bytes.Equal(want.Full, got.Full) {
				t.Errorf("filled value (-recorded +today):\n%s", cmp.Diff(string(want.Full), string(got.Full)))
			}
			readsBack(t, of, want.Full)
		})
	}
	for label := range recorded {
		if !seen[label] && !t.Failed() {
			t.Errorf("no type has the form %s any more", label)
		}
	}
}

// readsBack decodes a recorded form, without a field that is unknown or one that stays unset, and encodes it again.
func readsBack(t *testing.T, of reflect.Type, recorded []byte) {
	t.Helper()
	back := reflect.New(of)
	decoder := json.NewDecoder(bytes.NewReader(recorded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(back.Interface()); err != nil {
		t.Fatalf("the recorded form can't be read: %v", err)
	}
	if diff := cmp.Diff(string(recorded), string(encoded(t, back.Interface()))); diff != "" {
		t.Errorf("read and encoded again (-recorded +today):\n%s", diff)
	}
	if path := unset(back.Elem(), "", nil); path != "" {
		t.Errorf("no recorded form sets %s", path)
	}
}

func writeForms(t *testing.T) {
	t.Helper()
	var out bytes.Buffer
	for _, c := range forms {
		out.Write(append(encoded(t, newForm(t, c.label, reflect.TypeOf(c.value))), '\n'))
	}
	if err := os.WriteFile(formsFile, out.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// A frame of an empty state goes as it is, a large one zipped.
func TestEncodedFrameStaysAsItIs(t *testing.T) {
	for _, c := range []struct{ name, file string }{{"small", "testdata/frame-small"}, {"large", "testdata/frame-large.gz"}} {
		t.Run(c.name, func(t *testing.T) {
			value := reflect.New(reflect.TypeFor[wire.Frame]())
			if c.name == "large" {
				if err := fill(value.Elem(), "", nil); err != nil {
					t.Fatal(err)
				}
			}
			got, err := value.Interface().(*wire.Frame).Encoded()
			if err != nil {
				t.Fatal(err)
			}
			if updating {
				if err := os.WriteFile(c.file, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(c.file)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(unzipped(t, want), unzipped(t, got)); diff != "" {
				t.Errorf("(-recorded +today):\n%s", diff)
			}
		})
	}
}

// unzipped is a frame as it is, or what is in it where it is zipped.
func unzipped(t *testing.T, raw []byte) string {
	t.Helper()
	if len(raw) < 2 || raw[0] != 0x1f || raw[1] != 0x8b {
		return string(raw)
	}
	z, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return "zipped " + string(plain)
}

// Words that are sent, stored or answered stay what they are, whatever the constant is called.
func TestWordsStayAsTheyAre(t *testing.T) {
	for _, c := range words {
		if c.want != c.got {
			t.Errorf("%q is %q today", c.want, c.got)
		}
	}
}

func TestCodesStayAsTheyAre(t *testing.T) {
	for _, c := range codes {
		if c.want != string(c.code) {
			t.Errorf("%q is %q today", c.want, c.code)
		}
		f := &fault.Fault{Code: c.code}
		if got := string(encoded(t, f)); got != `{"code":"`+c.want+`"}` {
			t.Errorf("a fault with code %s is sent as %s", c.want, got)
		}
	}
}
