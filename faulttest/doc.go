// Package faulttest holds tests that run the real programs as separate
// processes on loopback addresses and cause failures: kills, freezes, connections
// that silently drop data, platform outages and concurrent operators.
package faulttest
