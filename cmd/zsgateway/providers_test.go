package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/platform"
)

// slowResponse is the response time of a slow store.
const slowResponse = 300 * time.Millisecond

// Guards against valid keys being rejected as stale while the store has no
// changes to report, which happens when two watch requests take longer than the
// maximum key age.
func TestKeysAreTakenOnAQuietDay(t *testing.T) {
	g := NewWithT(t)
	for _, revocation := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		settings := &platform.Settings{Bounds: platform.Bounds{KeyRevocation: revocation, ConfigInForce: time.Second}}
		config := provideConfig(&platform.Options{}, settings)
		g.Expect(2*config.WatchWait + slowResponse).To(BeNumerically("<", config.MaxKeyAge))
	}
}

// A view that the store confirmed less than the bound ago contains every declaration that
// must be in force. An older one may lack a route or a key.
func TestACallIsNotDeniedByADeclarationOlderThanTheBound(t *testing.T) {
	g := NewWithT(t)
	for _, inForce := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		settings := &platform.Settings{Bounds: platform.Bounds{KeyRevocation: 5 * time.Second, ConfigInForce: inForce}}
		g.Expect(provideConfig(&platform.Options{}, settings).MaxDeclarationAge).To(BeNumerically("<=", inForce))
	}
}
