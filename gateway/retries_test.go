package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCallersOfDifferentPatienceDoNotCountAsReturned(t *testing.T) {
	g := NewWithT(t)
	var seen retryDetector
	g.Expect(seen.retried("r", 6*time.Second)).To(BeFalse())
	for ms := 5100; ms <= 6000; ms += 100 {
		g.Expect(seen.retried("r", time.Duration(ms)*time.Millisecond)).To(BeFalse())
	}
	g.Expect(seen.retried("r", 4*time.Second)).To(BeTrue(), "a caller that was rejected and retries after 2 s")
	g.Expect(seen.retried("other", 4*time.Second)).To(BeFalse())
}
