package peers_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

func TestRecordsOfPromptPartsArriveUnchanged(t *testing.T) {
	g := NewWithT(t)
	records := []quarantine.Record{
		{Service: "s", Part: "p", Trials: 2, TrialAge: 3 * time.Second, Crashes: []quarantine.CrashAge{
			{Crash: quarantine.Crash{Endpoint: "e", Boot: 7}, Age: 1200 * time.Millisecond, Cleared: true},
			{Crash: quarantine.Crash{Endpoint: "e", Boot: 8}, Age: 100 * time.Millisecond},
		}},
		{Service: "s", Part: "q"},
	}
	g.Expect(peers.DecodeRecords(peers.EncodeRecords(records))).To(Equal(records))
}

func TestAgesOutsideTheRangeOfAMessageAreLimited(t *testing.T) {
	g := NewWithT(t)
	decoded := peers.DecodeRecords(peers.EncodeRecords([]quarantine.Record{
		{Part: "old", TrialAge: 100 * 24 * time.Hour},
		{Part: "negative", TrialAge: -time.Second},
	}))
	g.Expect(decoded[0].TrialAge).To(BeNumerically(">", 49*24*time.Hour))
	g.Expect(decoded[1].TrialAge).To(BeZero())
}

func TestCutsArriveUnchanged(t *testing.T) {
	g := NewWithT(t)
	crash := quarantine.Crash{Endpoint: "e", Boot: 7}
	cuts := []quarantine.Cut{
		{Service: "s", CrashAge: quarantine.CrashAge{Crash: crash, Age: 1200 * time.Millisecond}, Parts: []core.PromptPart{"p", "q"}},
		{Service: "s", CrashAge: quarantine.CrashAge{Crash: crash, Cleared: true}, Parts: []core.PromptPart{"q"}},
	}
	g.Expect(peers.DecodeCuts(peers.EncodeCuts(cuts))).To(Equal(cuts))
}
