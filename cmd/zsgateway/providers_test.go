package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/platform"
)

// slowAnswer is how long a slow store takes for an answer.
const slowAnswer = 300 * time.Millisecond

func TestKeysAreTakenOnAQuietDay(t *testing.T) {
	g := NewWithT(t)
	for _, revocation := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		settings := &platform.Settings{Bounds: platform.Bounds{KeyRevocation: revocation, ConfigInForce: time.Second}}
		config := provideConfig(&platform.Options{}, settings)
		g.Expect(2*config.WatchWait + slowAnswer).To(BeNumerically("<", config.MaxKeyAge))
		g.Expect(config.MaxDeclarationAge).To(BeNumerically(">", 2*config.WatchWait))
	}
}
