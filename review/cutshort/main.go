// Command cutshort counts requests without a body whose context ends at the time limit of their header, although the header has
// arrived and the client waits (KNOWN-RED.txt, entry 36). It serves with package io/clients on a loopback address. The
// handler takes longer than the limit, and no client gives up.
//
//	go run ./review/cutshort -clients 100 -rounds 20
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/shed"
	"jacinthpost/io/clients"
)

const (
	headerBytes   = 16 << 10
	headerTimeout = 300 * time.Millisecond
	idleTimeout   = 15 * time.Second
	workTime      = 2 * headerTimeout
	clientTimeout = time.Minute
)

// counts are the results of all requests.
type counts struct{ served, cutShort, failed atomic.Int64 }

func main() {
	num := flag.Int("clients", 100, "clients at the same time")
	rounds := flag.Int("rounds", 20, "requests of each client, on one connection")
	flag.Parse()
	if err := run(*num, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(num, rounds int) error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var cnt counts
	cls := clients.New("cutshort", shed.Limits{}, clients.NewWire(headerBytes, headerTimeout, idleTimeout), zap.NewNop())
	srv := cls.Server(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done():
			cnt.cutShort.Add(1)
		case <-time.After(workTime):
			cnt.served.Add(1)
		}
	}), clients.RefusePlain)
	go func() { _ = srv.Serve(cls.Listener(lsn)) }() // ends with Close
	var wait sync.WaitGroup
	for range num {
		wait.Go(func() {
			trn := &http.Transport{}
			defer trn.CloseIdleConnections()
			for range rounds {
				if err := get(trn, "http://"+lsn.Addr().String()+"/"); err != nil {
					cnt.failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	fmt.Printf("%d requests: %d served, %d cut short after %v, %d without an answer\n", num*rounds, cnt.served.Load(), cnt.cutShort.Load(), headerTimeout, cnt.failed.Load())
	return srv.Close()
}

// get sends a request.
func get(trn *http.Transport, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	rsp, err := trn.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	_, err = io.Copy(io.Discard, rsp.Body)
	return err
}
