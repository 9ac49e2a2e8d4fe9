package delta_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/configsync/delta"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// limit is the maximum size of a result, in bytes.
const limit = 1 << 20

func TestTheResultIsTheTargetWhateverTheTexts(t *testing.T) {
	texts := rapid.SliceOfN(rapid.SampledFrom([]byte(`ab,}{"`)), 0, 60)
	rapid.Check(t, func(t *rapid.T) {
		base, target := texts.Draw(t, "base"), texts.Draw(t, "target")
		got, err := delta.Apply(base, delta.Make(base, target), limit)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("delta from %q to %q yielded %q, %v", base, target, got, err)
		}
	})
}

func TestADamagedChangeIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(`{"a":1,"b":2,"c":3}`)
		target := []byte(`{"b":2,"a":9,"c":3}`)
		data, err := proto.Marshal(delta.Make(base, target))
		if err != nil {
			t.Fatal(err)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		corrupted := &peerpb.DocumentChange{}
		if proto.Unmarshal(data, corrupted) != nil {
			return
		}
		if got, err := delta.Apply(base, corrupted, limit); err == nil && !bytes.Equal(got, target) {
			t.Fatalf("applying a corrupted change returned %q without error", got)
		}
	})
}

func TestAnotherBaseAndTooLongResultsAreRefused(t *testing.T) {
	g := NewWithT(t)
	base, target := []byte(`{"a":1,"b":2}`), []byte(`{"a":1,"b":3}`)
	change := delta.Make(base, target)
	_, err := delta.Apply(target, change, limit)
	g.Expect(err).To(MatchError(delta.ErrBase))
	_, err = delta.Apply(base, change, len(target)-1)
	g.Expect(err).To(MatchError(delta.ErrPiece))
}

func TestAChangeOfOneObjectCostsLittle(t *testing.T) {
	g := NewWithT(t)
	rows := make([]map[string]any, 1000)
	for i := range rows {
		rows[i] = map[string]any{"id": fmt.Sprint("vm-", i), "state": "live", "zone": fmt.Sprint("z", i%14)}
	}
	base, err := json.Marshal(rows)
	g.Expect(err).NotTo(HaveOccurred())
	rows[500]["state"] = "leaving"
	target, err := json.Marshal(append(rows[:700], rows[701:]...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Size(delta.Make(base, target))).To(BeNumerically("<", 150))
}
