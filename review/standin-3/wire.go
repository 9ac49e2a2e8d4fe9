package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.conf
var wireConf string

// wire are the names of the users' platform.
var wire = readWire(wireConf)

func readWire(conf string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(conf) {
		if key, name, found := strings.Cut(strings.TrimSpace(line), "="); found {
			names[key] = name
		}
	}
	return names
}
