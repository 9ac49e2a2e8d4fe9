package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
)

// unpaced commits without rate limiting, so that tests need not wait.
var unpaced = Config{WriteRate: 1e6, WriteBurst: 1000, ProcessWriteRate: 1e6, ProcessWriteBurst: 1000}

const maxHeadBytes = 64 << 10

func TestHeadsStaySmallAndSealedKeysAreRemembered(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	first := ledgerOn(store, "a", unpaced)
	const keys = 4000
	for i := range keys {
		key := fmt.Sprintf("order-%d", i)
		_, refusal := first.Run(context.Background(), call(key), count.execute(key))
		g.Expect(refusal).To(BeNil())
	}
	for key, value := range store.values {
		if _, _, err := decodeHead(value); err == nil && len(value) > maxHeadBytes {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	second := ledgerOn(store, "b", unpaced)
	for i := range keys {
		key := fmt.Sprintf("order-%d", i)
		_, refusal := second.Run(context.Background(), call(key), count.execute(key))
		if refusal != nil {
			g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown))
			g.Expect(refusal.Reason).To(Equal(core.ReasonKeyUsed))
		}
	}
	for key, runs := range count.runs {
		g.Expect(runs).To(Equal(1), key)
	}
}

func TestUntimedKeysAreRefusedAtTheBound(t *testing.T) {
	g := NewWithT(t)
	config := unpaced
	config.SealClaims, config.KeepClaims, config.MaxUntimed = 8, 2, 16
	ledger, count := ledgerOn(newMemoryStore(), "a", config), &counter{}
	var last *core.Refusal
	for i := range 1000 {
		key := fmt.Sprintf("order-%d", i)
		_, last = ledger.Run(context.Background(), call(key), count.execute(key))
	}
	g.Expect(last.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(last.Detail).To(ContainSubstring("version 7 UUIDs"))
	key := newTimedKey()
	_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal).To(BeNil(), "a key with a time is still accepted")
}

func TestAKeyOlderThanTheFloorIsUnknown(t *testing.T) {
	g := NewWithT(t)
	config := unpaced
	config.SealClaims, config.KeepClaims, config.Horizon = 4, 1, time.Hour
	ledger, count := ledgerOn(newMemoryStore(), "a", config), &counter{}
	for range 200 {
		key := newTimedKey()
		_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
		g.Expect(refusal).To(BeNil())
	}
	old := uuid.Must(uuid.NewV7())
	expired := time.Now().Add(-2 * time.Hour).UnixMilli()
	for i := range 6 {
		old[i] = byte(expired >> (8 * (5 - i)))
	}
	_, refusal := ledger.Run(context.Background(), call(old.String()), count.execute("old"))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown))
	g.Expect(refusal.Reason).To(Equal(core.ReasonKeyExpired))
	g.Expect(count.runs).NotTo(HaveKey("old"))
}

func TestCloseHandsEveryPartitionOver(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	ledger := ledgerOn(store, "a", Config{})
	for i := range 40 {
		key := fmt.Sprintf("order-%d", i)
		_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
		g.Expect(refusal).To(BeNil())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(ledger.Close(ctx)).To(Succeed())
	for key, value := range store.values {
		h, _, err := decodeHead(value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.Released).To(BeTrue(), key)
	}
	_, refusal := ledger.Run(context.Background(), call("late"), count.execute("late"))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(refusal.Reason).To(Equal(core.ReasonLeaving))
}

func TestDecisionsAreObserved(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	seen := make(chan Observation, 64)
	observe := func(o Observation) { seen <- o }
	first := NewGrouped(Options{Self: "a", Incarnation: 1, Store: store, Observe: observe}, unpaced)
	request := call("k")
	request.Request = "r-1"
	_, refusal := first.Run(context.Background(), request, count.execute("k"))
	g.Expect(refusal).To(BeNil())
	g.Expect(first.Close(context.Background())).To(Succeed())
	close(seen)
	var texts []string
	for o := range seen {
		texts = append(texts, string(o.Request)+" "+o.Text)
	}
	number := Partition("k")
	g.Expect(texts).To(Equal([]string{
		fmt.Sprintf(" Partition %d taken over at epoch 1.", number),
		"r-1 Claim committed; the call is handed over.",
		fmt.Sprintf(" Partition %d given up.", number),
	}))
}
