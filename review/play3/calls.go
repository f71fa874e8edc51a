package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

const callTime = 3 * time.Second

var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes an HTTP call. The status is zero if there was no whole answer.
func call(ctx context.Context, method, target, host string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		panic(err) // the targets are made here
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	rsp, err := caller.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, ""
	}
	return rsp.StatusCode, string(data)
}

// pause waits, and reports whether the context goes on.
func pause(ctx context.Context, dur time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}
