package claiming_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/experiment/claiming"
)

// overloadRate is a claim rate above the write rate of three homes, in claims a second.
const overloadRate = 300

func TestQuickRunBoundsTheWritesByTheHomesAndNotByTheCalls(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	options := experiment.Options{Seed: 1, Runs: 1, Quick: true, OutDir: t.TempDir(), Out: &out}
	g.Expect(claiming.Run(context.Background(), options)).To(Succeed())
	data, err := os.ReadFile(filepath.Join(options.OutDir, "claims.json"))
	g.Expect(err).NotTo(HaveOccurred())
	var result claiming.Result
	g.Expect(json.Unmarshal(data, &result)).To(Succeed())
	writes := map[string]float64{}
	for _, row := range result.Rows {
		g.Expect(row.Doubles).To(BeZero())
		if row.ClaimsPerSecond == overloadRate {
			writes[row.Ledger] = row.WritesPerClaim
		}
	}
	g.Expect(writes["grouped"]).To(BeNumerically("<", writes["per_request"]))
	// Each home may write its burst, then its rate for the duration of the run and one
	// more second to finish.
	maxWrites := float64(result.Homes) * claims.DefaultProcessWriteRate * (result.Seconds + 2)
	g.Expect(writes["grouped"]).To(BeNumerically("<=", maxWrites/(overloadRate*result.Seconds)))
	t.Log(out.String())
}
