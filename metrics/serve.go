package metrics

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
)

// readHeaderTimeout bounds the reading of a request's headers.
const readHeaderTimeout = 5 * time.Second

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
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}
