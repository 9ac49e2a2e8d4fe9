package forward_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
)

// Guards against streams of large events whose buffers the budget of the process does not see.
func TestBuffersOfLargeEventsCountTowardsTheMemory(t *testing.T) {
	g := NewWithT(t)
	small, large := "id: 1\ndata: x\n\n", "id: 2\ndata: "+strings.Repeat("x", 40_000)+"\n\n"
	e := serve(t, func(_ int, id string, conn net.Conn) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, 3*len(small)+2*len(large), small+large+small+small+large)
		return true
	})
	budget := membudget.New(1 << 20)
	attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
	answer, err := forward.NewPoolWithin(budget).Do(context.Background(), plain{}, attempt, true)
	g.Expect(err).NotTo(HaveOccurred())
	events := answer.Events()
	for i, held := range []bool{false, true, true, false, true} {
		_, err := events.Next()
		g.Expect(err).NotTo(HaveOccurred())
		if i == 2 {
			continue // the buffer is given back with the next event at the latest
		}
		if held {
			g.Expect(budget.Used()).To(BeNumerically(">=", len(large)), "event %d", i)
		} else {
			g.Expect(budget.Used()).To(BeZero(), "event %d", i)
		}
	}
	answer.Close()
	g.Expect(budget.Used()).To(BeZero())
}
