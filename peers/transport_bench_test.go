package peers_test

import (
	"context"
	"testing"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// benchmarkCall measures a small call over an established connection.
func benchmarkCall(b *testing.B, security peers.Security) {
	addr := serve(b, security)
	conn, err := peers.NewPool("", security).Get(addr)
	if err != nil {
		b.Fatal(err)
	}
	message := &peerpb.Knowledge{}
	for b.Loop() {
		if _, err := conn.Peer().Exchange(context.Background(), message); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallWithoutTLS(b *testing.B) { benchmarkCall(b, peers.Security{}) }

func BenchmarkCallWithTLS(b *testing.B) {
	store := openStore(b, b.TempDir(), loopback, newAuthority(b))
	benchmarkCall(b, peers.Security{Mode: peers.TLSRequire, TLS: store})
}

// BenchmarkHandshake measures setting up a connection and making the first call.
func BenchmarkHandshake(b *testing.B) {
	store := openStore(b, b.TempDir(), loopback, newAuthority(b))
	security := peers.Security{Mode: peers.TLSRequire, TLS: store}
	addr := serve(b, security)
	for b.Loop() {
		if err := exchange(addr, security); err != nil {
			b.Fatal(err)
		}
	}
}
