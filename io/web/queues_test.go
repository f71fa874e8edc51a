package web_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/catalog"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/jobaccess"
	"jacinthpost/io/web"
)

const (
	queuedJob = "/v1/queues/build/jobs/5c0e7a21d94b36f8"
	stepsBody = `{"payload":"p","steps":[{"count":2,"milliCpu":500,"memoryMb":256},{"count":1,"milliCpu":100,"memoryMb":64,"after":[0]}]}`
)

// queueFixture serves the interface for jobs of steps with a fake table.
type queueFixture struct {
	table   *storefake.Store
	desk    *jobaccess.Client
	catalog *catalog.Catalog
}

func newQueueFixture() *queueFixture {
	tab := &storefake.Store{}
	return &queueFixture{
		table: tab, desk: jobaccess.New(tab, "p0", zap.NewNop()),
		catalog: catalog.New(1, []catalog.Queue{{Name: "build", Service: "svc", Priority: 1, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second}}, catalog.Limits{}),
	}
}

// send returns the answer, whose body must be JSON whatever was sent.
func (fix *queueFixture) send(method, path, body string, headers http.Header) (*http.Response, map[string]any) {
	GinkgoHelper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, vals := range headers {
		req.Header[name] = vals
	}
	rec := httptest.NewRecorder()
	web.NewQueueHandler(fix.desk, func() *catalog.Catalog { return fix.catalog }, time.Now).ServeHTTP(rec, req)
	var answer map[string]any
	Expect(json.Unmarshal(rec.Body.Bytes(), &answer)).To(Succeed(), rec.Body.String())
	return rec.Result(), answer
}

func (fix *queueFixture) expect(method, path, body string, status int) map[string]any {
	GinkgoHelper()
	res, answer := fix.send(method, path, body, nil)
	Expect(res.StatusCode).To(Equal(status), "%v", answer)
	return answer
}

var _ = Describe("jobs of steps", func() {
	It("are accepted, followed and cancelled", func() {
		fix := newQueueFixture()
		fix.expect("GET", queuedJob, "", 404)
		fix.expect("DELETE", queuedJob, "", 404)
		Expect(fix.expect("PUT", queuedJob, stepsBody, 200)).To(HaveKeyWithValue("outcome", "answered"))
		Expect(fix.expect("GET", queuedJob, "", 200)).To(HaveKeyWithValue("state", "queued"))
		Expect(fix.expect("GET", "/v1/queues/build", "", 200)).To(HaveKeyWithValue("pending", BeEquivalentTo(1))) // nobody has started it
		fix.expect("DELETE", queuedJob, "", 200)
	})

	// Guards against a job without the policy of its queue, such as one without a limit of attempts.
	It("get the policy of their queue", func(ctx SpecContext) {
		fix := newQueueFixture()
		fix.expect("PUT", queuedJob, stepsBody, 200)
		rows, err := fix.table.Read(ctx, batchstore.Partition("p0").JobKey("5c0e7a21d94b36f8"))
		Expect(err).NotTo(HaveOccurred())
		job, err := batchstore.DecodeJob(rows[0].Value())
		Expect(err).NotTo(HaveOccurred())
		Expect(job.Queue()).To(Equal("build"))
		Expect(job.Service()).To(Equal("svc"))
		Expect(job.MaxAttempts()).To(Equal(2))
		Expect(job.TargetLatency()).To(Equal(time.Second))
	})

	// Guards against two jobs with the same ID.
	It("stay one job when they are submitted again", func() {
		fix := newQueueFixture()
		fix.expect("PUT", queuedJob, stepsBody, 200)
		fix.expect("PUT", queuedJob, stepsBody, 200)
		Expect(fix.table.Commits()).To(Equal(2))
		Expect(fix.expect("GET", queuedJob, "", 200)).To(HaveKeyWithValue("state", "queued"))
	})

	It("are refused with a Retry-After header while their queue accepts none", func() {
		fix := newQueueFixture()
		fix.desk.SetLoad(batchstore.Load{RetryAfterMillis: map[string]int64{"build": 2000}}, time.Now())
		res, answer := fix.send("PUT", queuedJob, stepsBody, nil)
		Expect(res.StatusCode).To(Equal(429))
		Expect(answer).To(HaveKeyWithValue("outcome", "notRun"))
		Expect(res.Header.Get("Retry-After")).To(MatchRegexp("^[23]$"))
		fix.expect("GET", queuedJob, "", 404)
	})

	It("are refused before the first configuration", func() {
		fix := newQueueFixture()
		fix.catalog = nil
		Expect(fix.expect("PUT", queuedJob, stepsBody, 503)).To(HaveKeyWithValue("reason", "staleConfig"))
		Expect(fix.expect("GET", "/v1/queues", "", 200)).To(HaveKeyWithValue("queues", BeEmpty()))
	})

	// Guards against bad input that is stored or gets no explanation.
	DescribeTable("are refused when they are not valid", func(method, path, body string, headers http.Header, status int, detail string) {
		fix := newQueueFixture()
		res, answer := fix.send(method, path, body, headers)
		Expect(res.StatusCode).To(Equal(status))
		Expect(answer).To(And(HaveKeyWithValue("outcome", "notRun"), HaveKeyWithValue("detail", ContainSubstring(detail))))
		Expect(fix.table.Commits()).To(BeZero())
	},
		Entry("unknown queue", "PUT", "/v1/queues/other/jobs/1", stepsBody, nil, 404, "no such queue"),
		Entry("no steps", "PUT", queuedJob, `{"payload":"p"}`, nil, 400, "steps"),
		Entry("step after itself", "PUT", queuedJob, `{"steps":[{"count":1,"after":[0]}]}`, nil, 400, "not an earlier step"),
		Entry("unknown field", "PUT", queuedJob, `{"steps":[{"count":1,"gpu":1}]}`, nil, 400, "unknown field"),
		Entry("fractional number of tasks", "PUT", queuedJob, `{"steps":[{"count":1.5}]}`, nil, 400, "count"),
		Entry("payload too large", "PUT", queuedJob, `{"payload":"`+strings.Repeat("x", 4001)+`","steps":[{"count":1}]}`, nil, 400, "payload"),
		Entry("job ID too long", "PUT", "/v1/queues/build/jobs/"+strings.Repeat("x", 200), stepsBody, nil, 400, "job ID"),
		Entry("timeout not a number", "PUT", queuedJob, stepsBody, header("Jacinthpost-Timeout-Millis", "soon"), 400, "expected 1 to"),
	)
})
