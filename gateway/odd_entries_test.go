package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Another writer leaves odd entries among those of the endpoints while the gateway serves.
func TestOddEntriesAmongTheEndpointsLeaveTheOthersInUse(t *testing.T) {
	const applied = 300 * time.Millisecond
	g := NewWithT(t)
	b := newBackend(t, echo)
	s := newLiveStore()
	s.put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","timeout-ms":2000,"goal-ms":100,
		"service":"s","max-attempts":1,"anonymous":true}],"services":[{"name":"s"}]}`))
	entry := func(service, address, capacity string) []byte {
		return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z","capacity":%s,"state":"ready","born":1000}`, service, address, capacity)
	}
	s.put("servers/sound", entry("s", b.address, "4"))
	address := startOn(t, s)
	for name, value := range map[string][]byte{
		"nested":            []byte(strings.Repeat("[", 400_000)),
		"large number":      entry("s", "127.0.0.9:9", "1e400"),
		"huge capacity":     entry("s", "127.0.0.9:9", "9223372036854775807"),
		"port":              entry("s", "127.0.0.9:70000", "4"),
		"no port":           entry("s", "127.0.0.9", "4"),
		"a sound address":   entry("unnamed", b.address, "4"),
		"odd sound address": []byte(fmt.Sprintf(`{"address":%q,"service":7}`, b.address)),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s.put("servers/odd", value)
			time.Sleep(applied)
			for i := range 20 {
				response, _, err := ask(g, address, fmt.Sprint(name, i))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			}
			s.remove("servers/odd")
		})
	}
	other := newBackend(t, echo)
	s.put("servers/sound2", entry("s", other.address, "4"))
	s.remove("servers/sound")
	g.Eventually(func() int {
		_, _, err := ask(g, address, fmt.Sprint("after", time.Now().UnixNano()))
		g.Expect(err).NotTo(HaveOccurred())
		return other.calls()
	}, 5*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 0), "the list is still followed")
}
