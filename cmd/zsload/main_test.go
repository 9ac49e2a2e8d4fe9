package main

import (
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/engine"
)

func TestExitCodes(t *testing.T) {
	server := engine.New(engine.Config{})
	server.Load("v1", core.Digest{})
	server.Warm()
	listener := httptest.NewServer(server)
	defer listener.Close()
	address := strings.TrimPrefix(listener.URL, "http://")
	out := filepath.Join(t.TempDir(), "results", "load.json")
	send := []string{"load", "-direct", "-entries", address, "-mix", "chat:briefing:a=1", "-duration", "300ms", "-out", out}
	other := "v1=" + core.DigestOf([]byte("other weights")).String()
	cases := map[string]struct {
		args []string
		want int
	}{
		"no command":            {nil, exitUsage},
		"help":                  {[]string{"-h"}, exitDone},
		"unknown flag":          {[]string{"load", "-nothing"}, exitUsage},
		"setting out of range":  {[]string{"load", "-rate", "0"}, exitUsage},
		"wrong mix":             {[]string{"load", "-entries", address, "-mix", "chat"}, exitUsage},
		"unknown experiment":    {[]string{"experiment", "nothing"}, exitUsage},
		"printed settings":      {[]string{"load", "-entries", address, "-print-settings"}, exitDone},
		"answered":              {send, exitDone},
		"answered by the wrong": {append(send, "-expect", other), exitViolation},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(run(context.Background(), c.args)).To(Equal(c.want))
		})
	}
	NewWithT(t).Expect(out).To(BeAnExistingFile())
}
