package simulator

import (
	"strings"
	"testing"

	"petreltide/examples"
	"petreltide/internal/api/configuration"
	"petreltide/internal/statistics"
)

const drowsy = `
def propose(fleet):
    for m in fleet["models"]:
        if fleet["models"][m]["waiting"] > 6 and not [r for r in fleet["replicas"] if m in r["holds"] or r["loading"] == m]:
            for r in fleet["replicas"]:
                if r["usable"] and not r["busy"] and r["free"] >= fleet["models"][m]["size"]:
                    return [{"step": "load", "replica": r["id"], "unit": m}]
    return []
`

func contest(policies ...configuration.Policy) PolicyComparison {
	return PolicyComparison{Declaration: ExampleDeclaration(), Policies: policies, Seeds: []int64{1, 2, 3, 4}, DurationUs: 10 * second, CallsPerSecond: 20, Faults: 2, Gateways: 2, Replicas: 5}
}

func seen(figures []Figure, a, b string) []string {
	found := []string{}
	for _, f := range figures {
		if statistics.Paired(f.Values[a], f.Values[b]).Significant() {
			found = append(found, f.Kind+" "+f.What)
		}
	}
	return found
}

func TestAPolicyDoesNotDifferFromItself(t *testing.T) {
	heavy(t)
	c := contest(configuration.Policy{Name: "steady", Source: examples.Steady}, configuration.Policy{Name: "steady-again", Source: examples.Steady})
	figures, breaches := ComparePolicies(c)
	if len(breaches) > 0 {
		t.Fatal(breaches)
	}
	if found := seen(figures, "steady", "steady-again"); len(found) > 0 {
		t.Fatalf("differs from itself in %v", found)
	}
	var text strings.Builder
	Report(&text, c, figures)
	if n := strings.Count(text.String(), "no difference seen"); n != len(figures) {
		t.Fatalf("%d of %d figures say so:\n%s", n, len(figures), text.String())
	}
}

func TestAPlantedWorsePolicyIsFound(t *testing.T) {
	heavy(t)
	c := contest(configuration.Policy{Name: "steady", Source: examples.Steady}, configuration.Policy{Name: "drowsy", Source: drowsy})
	figures, breaches := ComparePolicies(c)
	if len(breaches) > 0 {
		t.Fatal(breaches)
	}
	for _, f := range figures {
		if f.What != "first piece p95" || f.Kind != "fixes" {
			continue
		}
		if d := statistics.Paired(f.Values["steady"], f.Values["drowsy"]); !d.Significant() || d.Mean <= 0 {
			t.Fatalf("a policy that loads only under a queue is not found: %+v", d)
		}
	}
}
