package logging

import (
	"context"
	"expvar"
	"io"

	"github.com/zinniaseam/zinniaseam/ring"
)

// maxQueuedLines bounds the lines queued for a slow log reader. At about 300
// bytes per line they take some 1 MB.
const maxQueuedLines = 4096

var droppedLines = expvar.NewInt("log_lines_dropped")

// AsyncWriter is a log writer that never blocks. It queues lines in a ring and
// drops and counts them when the ring is full.
type AsyncWriter struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
}

// NewAsyncWriter returns a writer whose Run or RunWith writes the lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New[[]byte](maxQueuedLines)}
}

// Write implements io.Writer. It queues a copy of line and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		droppedLines.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx is done, and then flushes the queue.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines.Items():
			w.write(line)
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes the lines that are queued.
func (w *AsyncWriter) Flush() {
	for {
		select {
		case line := <-w.lines.Items():
			w.write(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		droppedLines.Add(1) // a failed log write can't be logged, so it is only counted
	}
}

// RunWith calls run, writes lines while it runs, and flushes the queue when it has
// returned. It returns the error of run.
func (w *AsyncWriter) RunWith(run func() error) error {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx) // returns only the error of ctx
	}()
	err := run()
	cancel()
	<-done
	return err
}
