package faulttest

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/certs"
	"github.com/zinniaseam/zinniaseam/standin/authority"
)

// nextPeerKey is the peer key that replaces peerKey in a rotation.
const nextPeerKey = "the-next-peer-key"

// certificateFlags writes the TLS files of one process and returns its TLS flags.
func (c *cluster) certificateFlags(ip string) []string {
	if c.authority == nil {
		return nil
	}
	dir, err := os.MkdirTemp(c.dir, "tls")
	if err != nil {
		c.t.Fatal(err)
	}
	c.certDirs[ip] = dir
	if err := c.authority.Write(dir, ip); err != nil {
		c.t.Fatal(err)
	}
	return []string{"-tls-dir", dir, "-peer-tls", "prefer", "-peer-keys-former", nextPeerKey}
}

// issueCertificates writes a certificate signed by issuer for every process. The
// processes trust the given authorities.
func (c *cluster) issueCertificates(issuer *authority.Authority, trusted ...*authority.Authority) {
	c.t.Helper()
	for ip, dir := range c.certDirs {
		if err := issuer.Write(dir, ip, trusted...); err != nil {
			c.t.Fatal(err)
		}
	}
}

// setFlag sets a flag of the process for its next start.
func (p *proc) setFlag(name, value string) {
	at := slices.Index(p.args, name)
	if at < 0 {
		p.args = append(p.args, name, value)
		return
	}
	p.args[at+1] = value
}

// rollingReplace applies change to each product process in turn and restarts it.
func (c *cluster) rollingReplace(g *WithT, change func(p *proc)) {
	for _, p := range c.productProcs() {
		change(p)
		g.Expect(p.terminate(20*time.Second)).To(Succeed(), p.name)
		p.run()
		c.waitSettled()
	}
}

// Guards against lost requests while a rolling replacement makes TLS between
// processes mandatory and changes the peer key, and while the processes reload
// certificates of another authority without a restart.
func TestTLSAndKeysAreRotatedUnderLoad(t *testing.T) {
	g := NewWithT(t)
	old, err := authority.New("old")
	g.Expect(err).NotTo(HaveOccurred())
	next, err := authority.New("next")
	g.Expect(err).NotTo(HaveOccurred())
	c := newCluster(t)
	c.authority = old
	c.addEntry("a", "-operator-tls=true")
	c.addEntry("a", "-operator-tls=true")
	c.addEngine("a", "main", "-warm")
	c.addEngine("a", "main", "-warm")
	c.operatorClient = newOperatorClient(old)
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	chats, stop := background(4, c.loadBalancer(), shortChat)
	time.Sleep(500 * time.Millisecond)
	c.rollingReplace(g, func(p *proc) {
		p.setFlag("-peer-tls", "require")
		p.setFlag("-peer-key", nextPeerKey)
		p.setFlag("-peer-keys-former", peerKey)
	})

	g.Expect(acceptsPlaintext(c.engines[0].vm.PeerAddr)).To(BeFalse(), "peer listener accepts a connection without TLS")
	for _, step := range [][]*authority.Authority{{old, old, next}, {next, old, next}, {next, next}} {
		c.issueCertificates(step[0], step[1:]...)
		time.Sleep(certs.ReloadInterval + 500*time.Millisecond)
	}
	g.Expect(issuerName(c.engines[0].vm.PeerAddr)).To(Equal("next"))
	stop()
	chats.requireNoBrokenAnswers(t)
	g.Expect(chats.reasons).To(BeEmpty())
	c.operatorClient = newOperatorClient(old)
	status, _ := c.operator(c.entries[0], "/v1/config/apply", nil)
	g.Expect(status).To(BeZero(), "operator listener still presents a certificate of the old authority")
}

// newOperatorClient returns an HTTP client that trusts only ca.
func newOperatorClient(ca *authority.Authority) *http.Client {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.CA)
	return &http.Client{Timeout: client.Timeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

// acceptsPlaintext reports whether a peer listener answers an HTTP/2 preface sent
// without TLS.
func acceptsPlaintext(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = conn.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	answer := make([]byte, 1)
	n, _ := conn.Read(answer)
	return n > 0
}

// issuerName returns the common name of the issuer of a listener's certificate.
func issuerName(addr string) string {
	var name string
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}, VerifyConnection: func(state tls.ConnectionState) error {
		name = state.PeerCertificates[0].Issuer.CommonName
		return nil
	}})
	if err == nil {
		conn.Close()
	}
	return name
}
