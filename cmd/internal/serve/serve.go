// Package serve runs the HTTP server of a stand-in until its context ends.
package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

// HTTP listens, prints "listening on <address>" to standard output and serves
// until the context ends. Requests in flight have 5 s to complete.
func HTTP(ctx context.Context, addr string, handler http.Handler) error {
	lsn, err := Listen(ctx, addr)
	if err != nil {
		return err
	}
	return Listener(ctx, lsn, handler)
}

// Listen opens the listener and prints its address, so that a caller that asked
// for port 0 learns the port.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var cfg net.ListenConfig
	lsn, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	fmt.Fprintln(os.Stdout, "listening on", lsn.Addr())
	return lsn, nil
}

// Listener serves on an open listener until the context ends.
func Listener(ctx context.Context, lsn net.Listener, handler http.Handler) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- srv.Shutdown(end)
	})
	defer stop()
	if err := srv.Serve(lsn); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	if err := <-stopped; err != nil {
		return errors.Wrap(err, "shut down")
	}
	return nil
}
