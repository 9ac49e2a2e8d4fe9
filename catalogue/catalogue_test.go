package catalogue_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func read(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parse(t testing.TB, name string) *catalogue.Set {
	set, err := catalogue.Parse(read(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func expectGolden(t *testing.T, name, got string) {
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	NewWithT(t).Expect(got).To(Equal(string(read(t, name))))
}

func TestAValidSetHasNoProblems(t *testing.T) {
	NewWithT(t).Expect(catalogue.Validate(parse(t, "valid.yaml"))).To(BeEmpty())
}

func TestEveryMistakeIsNamedAtOnce(t *testing.T) {
	problems := catalogue.Validate(parse(t, "mistakes.yaml"))
	expectGolden(t, "mistakes.golden", problems.Error()+"\n")
}

func TestDiffNamesObjectsAndFields(t *testing.T) {
	before := parse(t, "valid.yaml")
	after := parse(t, "valid.yaml")
	after.Pools[0].MaxSwitching = 3
	after.Zones[1].State = catalogue.ZoneIn
	after.Teams = []catalogue.Team{{Name: "south", Weight: 1}}
	var lines []string
	for _, change := range catalogue.Diff(before, after) {
		lines = append(lines, change.String())
	}
	expectGolden(t, "diff.golden", strings.Join(lines, "\n")+"\n")
	NewWithT(t).Expect(catalogue.Diff(before, before)).To(BeEmpty())
}

func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"unknown field":     {"pools: [{name: p, replicas: 3}]", catalogue.ErrSyntax},
		"unquoted number":   {"models: [{name: 1.10}]", catalogue.ErrSyntax},
		"unquoted boolean":  {"models: [{name: no}]", catalogue.ErrSyntax},
		"wrong case":        {"Pools: []", catalogue.ErrSyntax},
		"duplicate key":     {"teams: []\nteams: []", catalogue.ErrSyntax},
		"wrong type":        {"teams: [{name: t, weight: many}]", catalogue.ErrSyntax},
		"bad YAML":          {"teams: [", catalogue.ErrSyntax},
		"nothing":           {"# only a comment\n", catalogue.ErrEmpty},
		"second document":   {"teams: []\n---\nteams: []\n", catalogue.ErrSeveralDocuments},
		"too deep":          {strings.Repeat("[", 20) + strings.Repeat("]", 20), catalogue.ErrTooDeep},
		"too large":         {strings.Repeat(" ", catalogue.MaxFileBytes+1), catalogue.ErrFileTooLarge},
		"too many objects":  {"teams: [" + strings.Repeat("{},", catalogue.MaxObjects+1) + "]", catalogue.ErrTooManyObjects},
		"expanding aliases": {fileWithAliases(), catalogue.ErrFileTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := catalogue.Parse([]byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(c.want))
		})
	}
}

// fileWithAliases returns a file whose size grows a hundredfold when its aliases are
// expanded.
func fileWithAliases() string {
	return "models: [{name: &a " + strings.Repeat("x", 10_000) + "}" + strings.Repeat(", {name: *a}", 100) + "]"
}

func TestJSONAndALeadingSeparatorAreRead(t *testing.T) {
	g := NewWithT(t)
	set, err := catalogue.Parse([]byte(`{"teams":[{"name":"t","weight":1}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(set.Teams).To(HaveLen(1))
	_, err = catalogue.Parse([]byte("# head\n---\nteams: []\n"))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestIndexAnswersLookups(t *testing.T) {
	g := NewWithT(t)
	x := catalogue.NewIndex(parse(t, "valid.yaml"))
	g.Expect(x.RouteForModel("assistant").Pool).To(BeEquivalentTo("assistant"))
	g.Expect(x.RouteForService("desk").Priority).To(Equal("dispatch"))
	g.Expect(x.RouteForModel("other")).To(BeNil())
	g.Expect(x.Pool("assistant").Version).To(BeEquivalentTo("v1"))
	g.Expect(x.ZonesOut()).To(Equal([]core.ZoneID{"kamloops-yard"}))
	weight, known := x.TeamWeight("north")
	g.Expect(weight).To(Equal(2))
	g.Expect(known).To(BeTrue())
}

func TestTheLongestPrefixDecidesACallRule(t *testing.T) {
	g := NewWithT(t)
	x := catalogue.NewIndex(parse(t, "valid.yaml"))
	for _, c := range []struct {
		method, path string
		idempotent   bool
		known        bool
	}{
		{"GET", "/orders", true, true},
		{"GET", "/orders/7?x=/orders-archive", true, true},
		{"POST", "/orders/7", false, true},
		{"POST", "/orders/stock/7", true, true},
		{"GET", "/orders-archive", false, false},
	} {
		rule, known := x.CallRule("desk", c.method, c.path)
		g.Expect(known).To(Equal(c.known), c.path)
		g.Expect(rule.Idempotent).To(Equal(c.idempotent), c.path)
	}
}

func TestAFileWithoutZoneStatesBringsNoZoneBack(t *testing.T) {
	g := NewWithT(t)
	base := parse(t, "valid.yaml")
	next := parse(t, "valid.yaml")
	next.Zones[1].State = ""
	next.Zones = append(next.Zones, catalogue.Zone{Name: "new", Region: "r"})
	filled := catalogue.KeepZoneStates(base, next)
	g.Expect(filled.Zones[1].State).To(Equal(catalogue.ZoneOut))
	g.Expect(filled.Zones[2].State).To(Equal(catalogue.ZoneIn))
	g.Expect(next.Zones[1].State).To(BeEmpty())
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"valid.yaml", "mistakes.yaml"} {
		f.Add(read(f, name))
	}
	f.Add([]byte(`{"routes":[{"name":"x","pool":"p","service":"s"}]}`))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("---\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := catalogue.Parse(data)
		if err != nil {
			return
		}
		catalogue.Validate(set)
		catalogue.NewIndex(set)
		if changes := catalogue.Diff(set, set); len(changes) != 0 {
			t.Fatalf("comparing a set with itself returned changes: %v", changes)
		}
	})
}
