package main

import (
	_ "embed"
	"strings"
)

// protocolNames are the names of the users' protocol by what they mean, one per line. In Go code
// they belong to the package platform alone.
//
//go:embed wire.conf
var protocolNames string

// wire is a name of the users' protocol by its meaning.
var wire = readNames(protocolNames)

func readNames(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if meaning, name, found := strings.Cut(strings.TrimSpace(line), "="); found {
			names[meaning] = name
		}
	}
	return names
}
