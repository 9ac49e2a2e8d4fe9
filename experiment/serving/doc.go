// Package serving measures routing, admission and gate policies under load and
// faults. The production policies run in virtual time in front of simulated engines
// that batch calls, cache prompt prefixes, start cold and collapse under overload.
package serving
