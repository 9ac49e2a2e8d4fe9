// Package placing simulates package placement under load: several gateways
// place calls on modelled engines, in virtual time.
package placing
