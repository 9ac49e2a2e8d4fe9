package metrics

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/connlimit"
	"github.com/zinniaseam/zinniaseam/logging"
)

// Bounds on what clients hold.
const (
	// readTimeout bounds the reading of a request, writeTimeout also that of its response.
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	// idleTimeout is longer than the interval at which metrics are usually read.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes bounds the head of a request, to which net/http adds 4 KiB.
	maxHeadBytes   = 8 << 10
	maxConnections = 32
)

// Page is served beside the metrics.
type Page struct {
	Path    string
	Handler http.Handler
}

// Serve serves all expvar variables under /debug/vars, and the given pages, at address until
// ctx is done. If it can't listen there, it logs a warning and waits for ctx, so that the
// process keeps running without metrics.
func Serve(ctx context.Context, address string, logger *log.Logger, pages ...Page) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("The metrics listener cannot be opened; the process runs without metrics.", "address", address, "err", err)
		<-ctx.Done()
		return ctx.Err()
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	for _, page := range pages {
		mux.Handle(page.Path, page.Handler)
	}
	limit := connlimit.New(maxConnections)
	limit.LogTo(logging.NewLimited(logger), "metrics")
	server := &http.Server{
		Handler: mux, ConnState: limit.ConnState, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(limit.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
