package logging

import (
	"context"
	"expvar"
	"io"

	"github.com/zinniaseam/zinniaseam/ring"
)

// boundedLines is how many lines wait for a slow reader of the log; at some 300
// bytes a line they take about 1 MB.
const boundedLines = 4096

var droppedLines = expvar.NewInt("log_lines_dropped")

// Bounded is a writer that never blocks: lines wait in a ring, and those that
// find it full are dropped and counted.
type Bounded struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
}

// NewBounded returns a writer to out; Run must be started for it to write.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, lines: ring.New[[]byte](boundedLines)}
}

// Write implements io.Writer. It always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that still wait.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.lines.Items():
			b.write(line)
		case <-ctx.Done():
			b.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes the lines that wait.
func (b *Bounded) Flush() {
	for {
		select {
		case line := <-b.lines.Items():
			b.write(line)
		default:
			return
		}
	}
}

func (b *Bounded) write(line []byte) {
	if _, err := b.out.Write(line); err != nil {
		droppedLines.Add(1) // there is no other place to report it
	}
}

// During writes lines while run runs, and those that wait after it.
func (b *Bounded) During(run func() error) error {
	ctx, end := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = b.Run(ctx) // it ends only with its context
	}()
	err := run()
	end()
	<-written
	return err
}
