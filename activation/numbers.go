package activation

// BlockSize is how many order numbers a process allocates from the platform at once.
// The platform never allocates numbers below BlockSize; they are used provisionally
// while the platform is unreachable.
const BlockSize = 1 << 10

// numbers holds the order numbers of one process.
type numbers struct {
	next, last uint64
	// used is the highest number used by this process.
	used uint64
	// failed is set if the last allocation failed.
	failed bool
}

// take returns the next number if it is higher than seen, and false if the block has
// no such number.
func (n *numbers) take(seen uint64) (uint64, bool) {
	if n.next == 0 || n.next > n.last || n.next <= seen {
		return 0, false
	}
	n.used = n.next
	n.next++
	return n.used, true
}

// provisional returns a number below all blocks. For an engine that checks numbers, it
// returns one only while seen, the engine's highest number, is this process's own. The
// numbers of any block allocated later are higher.
func (n *numbers) provisional(seen uint64, checksFence bool) (uint64, bool) {
	if n.used+1 >= BlockSize || n.next != 0 {
		return 0, false
	}
	if checksFence && seen != n.used {
		return 0, false
	}
	n.used++
	return n.used, true
}
