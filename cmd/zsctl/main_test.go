package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/operatorapi"
	"github.com/zinniaseam/zinniaseam/standin/authority"
	"github.com/zinniaseam/zinniaseam/timeline"
)

const (
	secret   = "a-long-enough-operator-key"
	valid    = "zones: [{name: a, region: r}]"
	mistakes = "teams: [{name: t, weight: 0}]\nmodels: [{name: ''}]\nzones: [{name: a}]"
)

// fakeEntry implements the back ends of an entry's operator API.
type fakeEntry struct {
	outcome configsync.Outcome
	base    uint64
	orders  []configsync.ZoneOrder
}

func (f *fakeEntry) Current() *configsync.Document {
	return &configsync.Document{ID: configsync.ID{Revision: 4, Author: "night"}, Set: catalogue.Set{Zones: []catalogue.Zone{{Name: "a", Region: "r"}}}}
}

func (f *fakeEntry) Publish(_ context.Context, base uint64, _ *catalogue.Set, _ string) configsync.Outcome {
	f.base = base
	return f.outcome
}

func (f *fakeEntry) SetZone(context.Context, core.ZoneID, catalogue.ZoneState, string) configsync.Outcome {
	return f.outcome
}

func (f *fakeEntry) OfferZoneOrder(order configsync.ZoneOrder) bool {
	f.orders = append(f.orders, order)
	return true
}

func (f *fakeEntry) ZoneOrders() []configsync.ZoneOrder { return f.orders }

func (f *fakeEntry) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{
		Process:   "entry-1",
		Endpoints: []operatorapi.EndpointStatus{{VM: "ep-1", Zone: "a", Pool: "p", Loaded: "v1", Ready: true, Limit: 4}},
		Spreads:   []operatorapi.SpreadStatus{{Version: "v1", Zone: "a", ChunksStored: 3, ChunksTotal: 8, SecondsLeft: 61}},
	}, nil
}

func (f *fakeEntry) Timeline(context.Context, timeline.Filter) (operatorapi.Timeline, error) {
	return operatorapi.Timeline{Events: []timeline.Event{{Process: "entry-1", Kind: timeline.KindZone, Object: "a", Text: "Zone takes no new work."}}}, nil
}

// startEntry serves the operator API of a fake entry and returns it with its URL.
func startEntry(t *testing.T) (*fakeEntry, string) {
	keys, err := operatorapi.ParseKeys("night:" + secret)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEntry{outcome: configsync.Outcome{Kind: configsync.Accepted, Revision: 5}}
	handler, err := operatorapi.New(operatorapi.Config{Keys: keys, Publisher: f, Documents: f, Orders: f, Status: f, Timeline: f})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return f, server.URL
}

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "set.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// result is the exit code and output of one command.
type result struct {
	code        int
	out, errOut string
}

func zsctl(t *testing.T, entries string, args ...string) result {
	return zsctlWithKey(t, entries, secret, args...)
}

func zsctlWithKey(t *testing.T, entries, key string, args ...string) result {
	environment := map[string]string{envEntries: entries, envKey: key}
	var out, errOut bytes.Buffer
	code := run(t.Context(), args, func(name string) string { return environment[name] }, strings.NewReader(valid), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

// closedURL returns the URL of a server that no longer listens.
func closedURL() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

func TestValidateWorksOfflineAndNamesEveryProblem(t *testing.T) {
	g := NewWithT(t)
	good := zsctl(t, "", "validate", "-f", "-")
	g.Expect(good).To(Equal(result{code: 0, out: "No problems.\n"}))
	bad := zsctl(t, "", "validate", writeFile(t, mistakes))
	g.Expect(bad.code).To(Equal(exitRejected))
	g.Expect(strings.Split(strings.TrimSpace(bad.out), "\n")).To(HaveLen(4))
	g.Expect(bad.out).To(ContainSubstring("team/t"))
	asJSON := zsctl(t, "", "validate", "-o", "json", "-f", writeFile(t, mistakes))
	g.Expect(asJSON.out).To(ContainSubstring(`"code": "out_of_bounds"`))
}

func TestApplyFixesTheBaseBeforeItPublishes(t *testing.T) {
	g := NewWithT(t)
	f, url := startEntry(t)
	done := zsctl(t, url, "apply", "-f", writeFile(t, valid))
	g.Expect(done.code).To(Equal(exitDone))
	g.Expect(done.out).To(HavePrefix("accepted: revision 5"))
	g.Expect(f.base).To(BeEquivalentTo(4))
	zsctl(t, url, "apply", "-base", "2", "-f", writeFile(t, valid))
	g.Expect(f.base).To(BeEquivalentTo(2))
}

func TestOutcomesLeadToTheirExitCodes(t *testing.T) {
	g := NewWithT(t)
	f, url := startEntry(t)
	for _, c := range []struct {
		outcome configsync.Outcome
		code    int
	}{
		{configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CauseConflict, Revision: 9}, exitRejected},
		{configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CauseInvalid}, exitRejected},
		{configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CausePlatformDown}, exitUnreachable},
		{configsync.Outcome{Kind: configsync.Unknown, Cause: configsync.CauseAnswerLost}, exitUnknown},
	} {
		f.outcome = c.outcome
		g.Expect(zsctl(t, url, "apply", "-f", writeFile(t, valid)).code).To(Equal(c.code), string(c.outcome.Cause))
	}
}

func TestEntriesAreTriedInTurn(t *testing.T) {
	g := NewWithT(t)
	_, url := startEntry(t)
	g.Expect(zsctl(t, closedURL()+","+url, "status").code).To(Equal(exitDone))
	g.Expect(zsctl(t, closedURL(), "status").code).To(Equal(exitUnreachable))
	g.Expect(zsctl(t, closedURL(), "zone", "out", "a").code).To(Equal(exitUnreachable))
}

func TestEntriesAreCalledWithTLSWhenAuthoritiesAreGiven(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	trusted := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	addr := strings.TrimPrefix(server.URL, "https://")
	g.Expect(zsctl(t, addr, "status", "-ca", trusted).errOut).To(ContainSubstring("404"))
	untrusted, err := authority.New("stranger")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(zsctl(t, addr, "zone", "out", "-ca", writeFile(t, string(untrusted.CA)), "a").code).To(Equal(exitUnreachable), "nothing was sent")
	_, plain := startEntry(t)
	g.Expect(zsctl(t, strings.TrimPrefix(plain, "http://"), "zone", "out", "-ca", trusted, "a").code).To(Equal(exitUnreachable), "nothing was sent")
	g.Expect(zsctl(t, addr, "status", "-ca", writeFile(t, "no certificate")).code).To(Equal(exitUsage))
}

func TestAnAnswerLostAfterSendingIsNotKnown(t *testing.T) {
	g := NewWithT(t)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(aborting.Close)
	g.Expect(zsctl(t, aborting.URL, "zone", "out", "a").code).To(Equal(exitUnknown))
	_, url := startEntry(t)
	g.Expect(zsctl(t, aborting.URL+","+url, "zone", "out", "a").code).To(Equal(exitDone))
}

func TestAnUnknownFateIsNotOverruledByAnEntryThatCannotWork(t *testing.T) {
	g := NewWithT(t)
	first, firstURL := startEntry(t)
	second, secondURL := startEntry(t)
	first.outcome = configsync.Outcome{Kind: configsync.Unknown, Cause: configsync.CauseAnswerLost}
	second.outcome = configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CausePlatformDown}
	g.Expect(zsctl(t, firstURL+","+secondURL, "apply", "-f", writeFile(t, valid)).code).To(Equal(exitUnknown))
}

func TestAVolatileZoneOrderIsProvisional(t *testing.T) {
	g := NewWithT(t)
	f, url := startEntry(t)
	f.outcome = configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CausePlatformDown}
	given := zsctl(t, url, "zone", "out", "-volatile", "a")
	g.Expect(given.code).To(Equal(exitProvisional))
	g.Expect(given.errOut).To(ContainSubstring(configsync.ProvisionalText))
	g.Expect(f.orders).To(HaveLen(1))
}

func TestTablesAreForPeopleAndJSONForPrograms(t *testing.T) {
	g := NewWithT(t)
	_, url := startEntry(t)
	g.Expect(zsctl(t, url, "status").out).To(And(ContainSubstring("ep-1"), ContainSubstring("3/8"), ContainSubstring("1m1s")))
	g.Expect(zsctl(t, url, "status", "-o", "json").out).To(ContainSubstring(`"chunksHeld": 3`))
	g.Expect(zsctl(t, url, "timeline", "-since", "5m").out).To(ContainSubstring("Zone takes no new work."))
	g.Expect(zsctl(t, url, "get").out).To(And(HavePrefix("# Revision 4 by night"), ContainSubstring("name: a")))
	g.Expect(zsctl(t, url, "diff", "-f", writeFile(t, "teams: [{name: t, weight: 1}]")).out).To(ContainSubstring("added team/t"))
}

func TestWrongUsageAndWrongKeys(t *testing.T) {
	g := NewWithT(t)
	_, url := startEntry(t)
	for _, args := range [][]string{
		{}, {"zone"}, {"zone", "out"}, {"apply"}, {"status", "-o", "xml"}, {"apply", "-f", "/does/not/exist"}, {"status", "-none"}, {"zone", "out", "a", "-volatile"},
	} {
		g.Expect(zsctl(t, url, args...).code).To(Equal(exitUsage), strings.Join(args, " "))
	}
	g.Expect(zsctl(t, "", "status").code).To(Equal(exitUsage))
	g.Expect(zsctlWithKey(t, url, "", "status").code).To(Equal(exitUsage))
	wrong := zsctlWithKey(t, url, "some-other-operator-key", "status")
	g.Expect(wrong.code).To(Equal(exitRejected))
	g.Expect(wrong.errOut).NotTo(ContainSubstring("some-other"))
}

func TestHelpHasExamplesAndExitCodes(t *testing.T) {
	g := NewWithT(t)
	help := zsctl(t, "", "apply", "-h")
	g.Expect(help.code).To(Equal(exitDone))
	g.Expect(help.errOut).To(And(ContainSubstring("EXAMPLES"), ContainSubstring("EXIT CODES")))
	g.Expect(zsctl(t, "", "completion").out).To(ContainSubstring(`zone) list="out in`))
}
