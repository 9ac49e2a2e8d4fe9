package main

import (
	_ "embed"
	"strings"
)

// wireNames are the names of the users' platform by what they mean, one per line. Only the
// package platform has them in its code.
//
//go:embed wire.conf
var wireNames string

// wire is a name of the users' platform by its meaning.
var wire = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireNames) {
		if meaning, name, found := strings.Cut(strings.TrimSpace(line), "="); found {
			names[meaning] = name
		}
	}
	return names
}()
