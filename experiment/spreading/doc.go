// Package spreading measures how fast the policies of package spread distribute
// weights, relative to a lower bound, in a simulated network and virtual time.
package spreading
