package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/outcome"
	"jacinthpost/internal/specs"
	"jacinthpost/io/endpoint"
)

func TestEndpoint(t *testing.T) {
	specs.Run(t, "endpoint")
}

// answering returns the address of a server that answers every connection with raw bytes, or never when they are empty.
func answering(answer string) string {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(lsn.Close)
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = con.Close() }()
				_, _ = con.Read(make([]byte, 4096))
				if answer == "" {
					_, _ = io.Copy(io.Discard, con)
				}
				_, _ = io.WriteString(con, answer)
			}()
		}
	}()
	return lsn.Addr().String()
}

// closed returns an address that refuses connections.
func closed() string {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(lsn.Close()).To(Succeed())
	return lsn.Addr().String()
}

// Guards against the outcome "not run" for a request that the endpoint may have run, and against
// a truncated answer that is passed on as complete.
var _ = DescribeTable("the end of a request",
	func(ctx SpecContext, address func() string, kind outcome.Kind, rsn outcome.Reason, body string) {
		limit := 5 * time.Second
		if rsn == outcome.ReasonTimeout {
			limit = 100 * time.Millisecond
		}
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ans, out := endpoint.New(address()).Serve(limited, endpoint.NewRequest("id", []byte("body")))
		Expect(out.Kind().String()).To(Equal(kind.String()), out.Detail())
		Expect(out.Reason()).To(Equal(rsn), out.Detail())
		Expect(string(ans.Body())).To(Equal(body))
	},
	Entry("whole answer", at("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"), outcome.KindAnswered, outcome.Reason(""), "whole"),
	Entry("error status of the endpoint", at("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"), outcome.KindAnswered, outcome.Reason(""), "no"),
	Entry("connection refused", closed, outcome.KindNotRun, outcome.ReasonEndpointRefused, ""),
	Entry("truncated body", at("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"), outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("truncated chunk", at("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"), outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("truncated header", at("HTTP/1.1 200 OK\r\nConte"), outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("closed without an answer", at("x"), outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("answer to another request", at("HTTP/1.1 200 OK\r\nJacinthpost-Request-ID: other\r\nContent-Length: 2\r\n\r\nno"),
		outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("body without end", at("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"+strings.Repeat("x", endpoint.BodyLimit+1)),
		outcome.KindUnknown, outcome.ReasonBrokenBody, ""),
	Entry("no answer in time", at(""), outcome.KindUnknown, outcome.ReasonTimeout, ""),
)

func at(answer string) func() string { return func() string { return answering(answer) } }

// Guards against the automatic retry of net/http when a kept-alive connection breaks: a request
// of any method is sent at most once.
var _ = DescribeTable("a request is sent once",
	func(ctx SpecContext, method string, body []byte) {
		var calls atomic.Int32
		web := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) == 1 {
				return // keeps the connection alive for the next request
			}
			con, _, err := http.NewResponseController(rsp).Hijack()
			if err == nil {
				_ = con.Close()
			}
		}))
		DeferCleanup(web.Close)
		cli := endpoint.New(strings.TrimPrefix(web.URL, "http://"))
		req := endpoint.NewRequest("id", body).WithTarget(method, "/serve")
		_, out := cli.Serve(ctx, req)
		Expect(out).To(Equal(outcome.Answered()))
		_, out = cli.Serve(ctx, req)
		Expect(out.Kind()).To(Equal(outcome.KindUnknown), out.Detail())
		Expect(calls.Load()).To(BeEquivalentTo(2))
	},
	Entry("GET", http.MethodGet, nil),
	Entry("POST", http.MethodPost, []byte("body")),
	Entry("empty POST", http.MethodPost, nil),
	Entry("empty DELETE", http.MethodDelete, nil),
	Entry("OPTIONS", http.MethodOptions, nil),
)
