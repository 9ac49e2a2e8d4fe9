package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/certs"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/standin/authority"
)

const loopback = "127.0.0.1"

// openStore writes a certificate for ip, signed by signer, to dir and opens a store
// there.
func openStore(t testing.TB, dir, ip string, signer *authority.Authority, trusted ...*authority.Authority) *certs.Store {
	g := NewWithT(t)
	g.Expect(signer.Write(dir, ip, trusted...)).To(Succeed())
	store, err := certs.Open(dir, time.Now)
	g.Expect(err).NotTo(HaveOccurred())
	return store
}

func newAuthority(t testing.TB) *authority.Authority {
	a, err := authority.New("test")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return a
}

// serve starts a server for the duration of the test and returns its address.
func serve(t testing.TB, security peers.Security) string {
	listener, err := net.Listen("tcp", loopback+":0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := peers.NewServer(security, logging.Discard())
	peerpb.RegisterPeerServer(server, emptyPeer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// exchange makes one call over a new pool.
func exchange(addr string, security peers.Security) error {
	conn, err := peers.NewPool("", security).Get(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = conn.Peer().Exchange(ctx, &peerpb.Knowledge{})
	return err
}

// Adjacent modes must be compatible in both directions, because a rolling
// replacement that raises the mode by one step runs both at once. The modes off and
// require are not compatible.
func TestNeighbouringModesUnderstandEachOther(t *testing.T) {
	g := NewWithT(t)
	store := openStore(t, t.TempDir(), loopback, newAuthority(t))
	for i, server := range peers.TLSModes {
		addr := serve(t, peers.Security{Mode: peers.TLSMode(server), TLS: store})
		for j, client := range peers.TLSModes {
			err := exchange(addr, peers.Security{Mode: peers.TLSMode(client), TLS: store})
			switch {
			case i-j <= 1 && j-i <= 1:
				g.Expect(err).NotTo(HaveOccurred(), "%s calls %s", client, server)
			case client == "off" && server == "require", client == "require" && server == "off":
				g.Expect(err).To(HaveOccurred(), "%s calls %s", client, server)
			}
		}
	}
}

func TestStrangersAreRefused(t *testing.T) {
	g := NewWithT(t)
	own, stranger := newAuthority(t), newAuthority(t)
	server := openStore(t, t.TempDir(), loopback, own)
	addr := serve(t, peers.Security{Mode: peers.TLSRequire, TLS: server})
	g.Expect(exchange(addr, peers.Security{Mode: peers.TLSRequire, TLS: openStore(t, t.TempDir(), loopback, own)})).To(Succeed())
	signedElsewhere := openStore(t, t.TempDir(), loopback, stranger, stranger, own)
	g.Expect(exchange(addr, peers.Security{Mode: peers.TLSRequire, TLS: signedElsewhere})).NotTo(Succeed())
	otherIP := serve(t, peers.Security{Mode: peers.TLSRequire, TLS: openStore(t, t.TempDir(), "127.0.0.77", own)})
	g.Expect(exchange(otherIP, peers.Security{Mode: peers.TLSRequire, TLS: server})).NotTo(Succeed(), "the server's certificate is for another IP address")
}

func TestRotatedAuthoritiesCountForNewConnections(t *testing.T) {
	g := NewWithT(t)
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server := openStore(t, dir, loopback, old)
	addr := serve(t, peers.Security{Mode: peers.TLSRequire, TLS: server})
	moved := peers.Security{Mode: peers.TLSRequire, TLS: openStore(t, t.TempDir(), loopback, next, old, next)}
	g.Expect(exchange(addr, moved)).NotTo(Succeed())
	g.Expect(old.Write(dir, loopback, old, next)).To(Succeed())
	server.Reload()
	g.Expect(exchange(addr, moved)).To(Succeed())
}

func TestAFormerKeyIsTakenWhileItIsRotated(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, peers.Security{Key: "the-new-key-of-all", FormerKeys: []string{"the-old-key-of-all"}})
	g.Expect(exchange(addr, peers.Security{Key: "the-old-key-of-all"})).To(Succeed())
	g.Expect(exchange(addr, peers.Security{Key: "the-new-key-of-all"})).To(Succeed())
	g.Expect(exchange(addr, peers.Security{Key: "the-oldest-key-of-all"})).NotTo(Succeed())
}
