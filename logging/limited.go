package logging

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// linesPerSecond and linesBurst bound the lines of a kind that clients cause. A crowd that is
// rejected before its requests have been read causes thousands in a second.
const (
	linesPerSecond = 20
	linesBurst     = 100
)

// Limited logs lines of one kind, a bounded number of them in a second. It is safe for concurrent
// use.
type Limited struct {
	logger  *log.Logger
	limiter *rate.Limiter

	mu       sync.Mutex
	unlogged int
}

// NewLimited returns a Limited that logs to logger.
func NewLimited(logger *log.Logger) *Limited {
	return &Limited{logger: logger, limiter: rate.NewLimiter(linesPerSecond, linesBurst)}
}

// Info logs a line unless too many have been logged. The field unlogged of the next one is the
// number of lines that were not.
func (l *Limited) Info(message string, fields ...any) {
	l.mu.Lock()
	if !l.limiter.AllowN(time.Now(), 1) {
		l.unlogged++
		l.mu.Unlock()
		return
	}
	unlogged := l.unlogged
	l.unlogged = 0
	l.mu.Unlock()
	l.logger.Info(message, append([]any{"unlogged", unlogged}, fields...)...)
}
