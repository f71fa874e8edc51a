package web_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/outcome"
	"jacinthpost/core/ticket"
	"jacinthpost/internal/specs"
	"jacinthpost/io/audit"
	"jacinthpost/io/entry"
	"jacinthpost/io/message"
	"jacinthpost/io/web"
)

func TestWeb(t *testing.T) {
	specs.Run(t, "web")
}

// fixture records which port was called and answers with what the test sets.
type fixture struct {
	calls  int
	asked  fleet.Service // whose timeout was asked for
	served entry.Request
	listed message.ListArgs
	answer entry.Answer
	job    message.JobReply
	filed  ticket.Outcome
}

func (fix *fixture) Serve(_ context.Context, req entry.Request) entry.Answer {
	fix.calls++
	fix.served = req
	return fix.answer
}

func (fix *fixture) Submit(context.Context, message.JobSpec) message.JobReply {
	fix.calls++
	return fix.job
}
func (fix *fixture) Cancel(context.Context, string) message.JobReply { fix.calls++; return fix.job }
func (fix *fixture) Retry(context.Context, string) message.JobReply  { fix.calls++; return fix.job }
func (fix *fixture) Status(context.Context, string) message.JobReply { return fix.job }

func (fix *fixture) File(context.Context, ticket.Ticket) ticket.Outcome {
	fix.calls++
	return fix.filed
}
func (fix *fixture) State() ticket.State         { return ticket.State{} }
func (fix *fixture) Freshness() ticket.Freshness { return ticket.Freshness{} }
func (fix *fixture) View() member.View           { return member.View{} }

func (fix *fixture) List(context.Context, string, int) ([]audit.Entry, error) { return nil, nil }

func (fix *fixture) Job(context.Context, string) ([]string, bool)      { return nil, false }
func (fix *fixture) Instance(context.Context, string) ([]string, bool) { return nil, false }
func (fix *fixture) Ticket(context.Context, string) ([]string, bool)   { return nil, false }

func (fix *fixture) handler() http.Handler {
	return web.NewHandler(web.Ports{Requests: fix, Jobs: fix, Overview: overview{fix}, Configuration: fix, Fleet: fix, Audit: fix, Explain: fix, Timeout: fix.timeout})
}

// overview records the arguments of List and Report.
type overview struct{ *fixture }

func (ovr overview) List(_ context.Context, args message.ListArgs) message.JobList {
	ovr.calls++
	ovr.listed = args
	return message.JobList{Jobs: []message.JobSummary{}}
}

func (ovr overview) Report(context.Context, time.Time) message.Report {
	ovr.calls++
	return message.Report{}
}

func (fix *fixture) timeout(svc fleet.Service) time.Duration {
	fix.asked = svc
	return time.Second
}

// Guards against a time limit that does not belong to the service of the request.
var _ = It("asks for the timeout of the service when the caller names none", func() {
	fix := &fixture{answer: entry.Refused(outcome.NotRun(outcome.ReasonNoEndpoint, ""))}
	send(fix, "POST", requests, "{}", nil)
	Expect(string(fix.asked)).To(Equal("svc"))
})

// Guards against requests of callers of earlier versions that escape the limits and
// settings of their workspace, because its header has another name now.
var _ = DescribeTable("a request belongs to the workspace of its header",
	func(name string) {
		fix := &fixture{answer: entry.Refused(outcome.NotRun(outcome.ReasonNoEndpoint, ""))}
		send(fix, "POST", requests, "{}", header(name, "uni"))
		Expect(string(fix.served.Workspace())).To(Equal("uni"))
	},
	Entry("under its name", "Jacinthpost-Workspace"),
	Entry("under its former name", "Jacinthpost-Customer"),
)

// Guards against a list that ignores the filters of the caller.
var _ = It("passes on the filters of a job list", func() {
	fix := &fixture{}
	code, _ := send(fix, "GET", "/v1/jobs?state=parked&workspace=uni&limit=7", "", nil)
	Expect(code).To(Equal(200))
	Expect(fix.listed).To(Equal(message.ListArgs{State: "parked", Workspace: "uni", Limit: 7}))
})

// send returns the status and the decoded answer, which must be JSON whatever was sent.
func send(fix *fixture, method, path, body string, headers http.Header) (int, map[string]any) {
	GinkgoHelper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, vals := range headers {
		req.Header[name] = vals
	}
	rec := httptest.NewRecorder()
	fix.handler().ServeHTTP(rec, req)
	var answer map[string]any
	Expect(json.Unmarshal(rec.Body.Bytes(), &answer)).To(Succeed(), rec.Body.String())
	return rec.Code, answer
}

const (
	requests = "/v1/services/svc/requests"
	jobs     = "/v1/jobs"
	tickets  = "/v1/tickets/1"
)

func header(pairs ...string) http.Header {
	hdr := http.Header{}
	for num := 0; num < len(pairs); num += 2 {
		hdr.Add(pairs[num], pairs[num+1])
	}
	return hdr
}

// Guards against bad input that runs or changes something, or gets no explanation.
var _ = DescribeTable("bad input is refused and changes nothing",
	func(method, path, body string, headers http.Header, status int, detail string) {
		fix := new(fixture)
		code, answer := send(fix, method, path, body, headers)
		Expect(code).To(Equal(status))
		Expect(fix.calls).To(BeZero())
		if faults, listed := answer["faults"].([]any); listed {
			Expect(faults).NotTo(BeEmpty())
			return
		}
		Expect(answer["outcome"]).To(Equal("notRun"))
		Expect(answer["detail"]).To(ContainSubstring(detail))
	},
	Entry("repeated header", "POST", requests, "{}", header("Idempotency-Key", "a", "Idempotency-Key", "b"), 400, "more than once"),
	Entry("timeout not a number", "POST", requests, "{}", header("Jacinthpost-Timeout-Millis", "soon"), 400, "expected 1 to"),
	Entry("timeout too large", "POST", requests, "{}", header("Jacinthpost-Timeout-Millis", "99999999999"), 400, "expected 1 to"),
	Entry("timeout zero", "POST", requests, "{}", header("Jacinthpost-Timeout-Millis", "0"), 400, "expected 1 to"),
	Entry("idempotent not a boolean", "POST", requests, "{}", header("Jacinthpost-Idempotent", "yes"), 400, "expected one of"),
	Entry("unknown priority", "POST", requests, "{}", header("Jacinthpost-Priority", "high"), 400, "expected one of"),
	Entry("key with control characters", "POST", requests, "{}", header("Idempotency-Key", "a\x01"), 400, "printable"),
	Entry("two workspaces", "POST", requests, "{}", header("Jacinthpost-Workspace", "a", "Jacinthpost-Customer", "b"), 400, "differ"),
	Entry("key too long", "POST", requests, "{}", header("Idempotency-Key", strings.Repeat("k", 200)), 400, "printable"),
	Entry("body too large", "POST", requests, strings.Repeat("x", web.RequestBodyLimit+1), nil, 413, "larger than"),
	Entry("job with unknown field", "POST", jobs, `{"key":"a","priority":1}`, nil, 400, "unknown field"),
	Entry("job of wrong type", "POST", jobs, `{"tasks":"many"}`, nil, 400, "cannot unmarshal"),
	Entry("job truncated", "POST", jobs, `{"key":"a"`, nil, 400, "unexpected EOF"),
	Entry("job followed by data", "POST", jobs, `{"key":"a"}{}`, nil, 400, "data after"),
	Entry("job too large", "POST", jobs, `{"key":"`+strings.Repeat("x", web.JSONBodyLimit)+`"}`, nil, 413, "larger than"),
	Entry("ticket number not a number", "PUT", "/v1/tickets/last", "{}", nil, 400, "not a ticket number"),
	Entry("ticket number negative", "PUT", "/v1/tickets/-1", "{}", nil, 400, "not a ticket number"),
	Entry("ticket without changes", "PUT", tickets, `{"author":"a","reason":"r","changes":[]}`, nil, 400, ""),
	Entry("ticket of unknown kind", "PUT", tickets, `{"author":"a","reason":"r","changes":[{"kind":"planet","name":"x","baseVersion":0,"state":{}}]}`, nil, 400, ""),
	Entry("audit limit too large", "GET", "/v1/audit?limit=1000000", "", nil, 400, "expected"),
	Entry("list of an unknown state", "GET", "/v1/jobs?state=happy", "", nil, 400, "expected a state"),
	Entry("list with an unknown parameter", "GET", "/v1/jobs?status=parked", "", nil, 400, "is not known"),
	Entry("list limit zero", "GET", "/v1/jobs?limit=0", "", nil, 400, "expected 1 to"),
	Entry("list of two workspaces", "GET", "/v1/jobs?workspace=a&workspace=b", "", nil, 400, "more than once"),
	Entry("report period not a duration", "GET", "/v1/report?period=yesterday", "", nil, 400, "expected a duration"),
	Entry("report period negative", "GET", "/v1/report?period=-1h", "", nil, 400, "expected a duration"),
	Entry("unknown subject", "GET", "/v1/explain/planet/x", "", nil, 404, "can be explained"),
	Entry("unknown object", "GET", "/v1/state/dataCentre/x", "", nil, 404, "no accepted ticket"),
)

// Guards against an HTTP status that tells the caller another outcome than the one that occurred.
var _ = DescribeTable("outcomes of requests",
	func(ans entry.Answer, status int, name string) {
		code, answer := send(&fixture{answer: ans}, "POST", requests, "{}", nil)
		Expect(code).To(Equal(status))
		Expect(answer["outcome"]).To(Equal(name))
	},
	Entry("not run", entry.Refused(outcome.NotRun(outcome.ReasonQueueFull, "")), 503, "notRun"),
	Entry("unknown", entry.Refused(outcome.Unknown(outcome.ReasonTimeout, "")), 504, "unknown"),
	Entry("answered", entry.Refused(outcome.Answered()), 200, "answered"),
)

var _ = DescribeTable("outcomes of jobs",
	func(rep message.JobReply, status int) {
		code, _ := send(&fixture{job: rep}, "POST", jobs, "{}", nil)
		Expect(code).To(Equal(status))
	},
	Entry("accepted", message.JobReply{Outcome: "answered"}, 200),
	Entry("store down", message.JobReply{Outcome: "notRun", Reason: "storeUnavailable"}, 503),
	Entry("answer lost", message.JobReply{Outcome: "unknown", Reason: "timeout"}, 504),
	Entry("too large", message.JobReply{Outcome: "notRun", Reason: "tooLarge"}, 422),
	Entry("key used for another job", message.JobReply{Outcome: "notRun", Reason: "conflict"}, 409),
	Entry("reply without an outcome", message.JobReply{}, 504),
	Entry("unknown job", message.JobReply{Outcome: "notRun", Reason: "noJob"}, 404),
	Entry("limits broken", message.JobReply{Outcome: "notRun", Reason: "invalid"}, 400),
)

var _ = DescribeTable("outcomes of tickets",
	func(out ticket.Outcome, status int) {
		body := `{"author":"a","reason":"r","changes":[{"kind":"endpoint","name":"x","baseVersion":0,"state":{"draining":true}}]}`
		code, answer := send(&fixture{filed: out}, "PUT", tickets, body, nil)
		Expect(code).To(Equal(status), "%v", answer)
		Expect(answer["outcome"]).To(Equal(out.Kind().String()))
	},
	Entry("store down", ticket.Unavailable("down"), 503),
	Entry("answer lost", ticket.Unknown("lost"), 504),
)

// FuzzRequest looks for input that crashes the interface or gets an answer that is no JSON.
func FuzzRequest(f *testing.F) {
	f.Add("POST", requests, "100", "key", []byte(`{"a":1}`))
	f.Add("POST", jobs, "", "", []byte(`{"key":"a","tasks":1,"kind":"build"}`))
	f.Add("PUT", tickets, "", "", []byte(`{"author":"a","reason":"r","changes":[{"kind":"dataCentre","name":"x","state":{"state":"out"}}]}`))
	f.Add("DELETE", "/v1/jobs/%2F", "-1", "\x00", []byte{0xff})
	f.Fuzz(func(t *testing.T, method, path, timeout, key string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(method+path, " \r\n\t\x00") || method == "" {
			return // not a request that the server would pass on
		}
		req, err := http.NewRequest(method, "http://entry"+path, bytes.NewReader(body))
		if err != nil {
			return // not a request that the server would pass on
		}
		req.Header["Jacinthpost-Timeout-Millis"] = []string{timeout}
		req.Header["Idempotency-Key"] = []string{key}
		rec := httptest.NewRecorder()
		new(fixture).handler().ServeHTTP(rec, req)
		if rec.Header().Get("Content-Type") == "application/json" && !json.Valid(rec.Body.Bytes()) {
			t.Fatalf("status %d with a broken body %q", rec.Code, rec.Body.String())
		}
	})
}
