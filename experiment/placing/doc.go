// Package placing replays loads over the decisions of package placement, with
// several gateways in front of modelled engines, under virtual time.
package placing
