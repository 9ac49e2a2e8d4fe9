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

// AsyncWriter is a writer that never blocks: lines wait in a ring, and those that
// find it full are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
}

// NewAsyncWriter returns a writer to out; Run must be started for it to write.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New[[]byte](boundedLines)}
}

// Write implements io.Writer. It always succeeds.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that still wait.
func (b *AsyncWriter) Run(ctx context.Context) error {
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
func (b *AsyncWriter) Flush() {
	for {
		select {
		case line := <-b.lines.Items():
			b.write(line)
		default:
			return
		}
	}
}

func (b *AsyncWriter) write(line []byte) {
	if _, err := b.out.Write(line); err != nil {
		droppedLines.Add(1) // there is no other place to report it
	}
}

// RunWith writes lines while run runs, and those that wait after it.
func (b *AsyncWriter) RunWith(run func() error) error {
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
