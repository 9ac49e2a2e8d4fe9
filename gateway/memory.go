package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// defaultBodyMemory is the budget for bodies if the configuration has none, in bytes.
	defaultBodyMemory = 32 << 20
	// linesPerSecond and linesBurst bound the log lines of a kind that clients cause. A crowd
	// that is rejected before its requests have been read causes thousands in a second.
	linesPerSecond = 20
	linesBurst     = 100
	// answerPiece bounds how much of a complete answer is written at once, in bytes. The caller's
	// progress is measured after each piece, so that small answers have smaller ones.
	answerPiece = 64 << 10
)

// lineLimit bounds the log lines of one kind.
type lineLimit struct {
	limiter *rate.Limiter

	mu       sync.Mutex
	unlogged int
}

func newLineLimit() *lineLimit {
	return &lineLimit{limiter: rate.NewLimiter(linesPerSecond, linesBurst)}
}

// take reports whether a line may be logged, and the number of lines that were not since the
// last one.
func (l *lineLimit) take() (unlogged int, permitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.AllowN(time.Now(), 1) {
		l.unlogged++
		return 0, false
	}
	unlogged, l.unlogged = l.unlogged, 0
	return unlogged, true
}
