package logging_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/logging"
)

// Guards against a log that grows with the number of clients that are rejected, and against lines
// that are left out without a trace.
func TestLinesOverTheLimitAreCountedInTheNextOne(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	logger, err := logging.New(&out, "json", "info")
	g.Expect(err).NotTo(HaveOccurred())
	lines := logging.NewLimited(logger)
	const crowd = 10_000
	for range crowd {
		lines.Info("Rejected.", "client", "c")
	}
	logged := strings.Count(out.String(), "\n")
	g.Expect(logged).To(BeNumerically("<", crowd/10))
	out.Reset()
	g.Eventually(func() string {
		lines.Info("Rejected.", "client", "c")
		return out.String()
	}).Should(MatchRegexp(`"unlogged":\d{3,}`))
}
