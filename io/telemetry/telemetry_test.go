package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
	"jacinthpost/io/telemetry"
)

func TestTelemetry(t *testing.T) {
	specs.Run(t, "telemetry")
}

// Guards against a load balancer that sends requests to a process that cannot
// serve yet or that is leaving.
var _ = DescribeTable("health",
	func(change func(*telemetry.Health), ready int, body string) {
		var hea telemetry.Health
		change(&hea)
		for path, want := range map[string]int{"/healthz": http.StatusOK, "/readyz": ready, "/metrics": http.StatusOK} {
			rec := httptest.NewRecorder()
			telemetry.Handler(&hea).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
			Expect(rec.Code).To(Equal(want), path)
			if path == "/readyz" {
				Expect(rec.Body.String()).To(MatchJSON(body))
			}
		}
	},
	Entry("at the start", func(*telemetry.Health) {}, 503, `{"state":"alive"}`),
	Entry("ready", func(hea *telemetry.Health) { hea.SetReady() }, 200, `{"state":"ready"}`),
	Entry("no longer ready", func(hea *telemetry.Health) {
		hea.SetReady()
		hea.SetNotReady()
	}, 503, `{"state":"alive"}`),
	Entry("leaving is final", func(hea *telemetry.Health) {
		hea.SetLeaving()
		hea.SetReady()
	}, 503, `{"state":"leaving"}`),
)

// Guards against a process that replaces a misspelt log level by a default.
var _ = It("refuses an unknown log level", func() {
	_, err := telemetry.NewLogger("loud")
	Expect(err).To(HaveOccurred())
})
