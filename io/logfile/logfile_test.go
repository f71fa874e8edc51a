package logfile_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/decision"
	"jacinthpost/core/history"
	"jacinthpost/internal/specs"
	"jacinthpost/io/logfile"
	"jacinthpost/io/telemetry"
)

func TestLogfile(t *testing.T) { specs.Run(t, "logfile") }

const line = `{"level":"info","time":"2026-02-07T07:41:25.03Z","message":"runAssigned","node":"n","job":"j","task":"j.0.0.1","run":2,"instance":"i"}`

func read(txt string) *logfile.Log {
	GinkgoHelper()
	log := &logfile.Log{}
	Expect(log.Read(strings.NewReader(txt))).To(Succeed())
	return log
}

var _ = Describe("Log", func() {
	DescribeTable("reads decisions and counts the other lines", func(txt string, lines, unreadable int) {
		log := read(txt)
		Expect(log.Lines()).To(HaveLen(lines))
		Expect(log.Unreadable()).To(Equal(unreadable))
	},
		Entry("a line", line+"\n", 1, 0),
		Entry("text of a collector before it", "  -4.96 node-1 "+line, 1, 0),
		Entry("empty lines", "\n\n"+line+"\n\n", 1, 0),
		Entry("a line cut off by a kill", line+"\n"+line[:60], 1, 1),
		Entry("text that is not JSON", "panic: out of memory\n"+line, 1, 1),
		Entry("a field of another type", strings.Replace(line, `"run":2`, `"run":"two"`, 1), 0, 1),
		Entry("no message", `{"time":"2026-02-07T07:41:25.03Z"}`, 0, 1),
		Entry("nothing", "", 0, 0),
	)

	It("reads what the decision log of a process writes", func() {
		var buf strings.Builder
		log, flush := telemetry.NewDecisionLog(&buf)
		log.With(zap.String(decision.KeyNode, "n")).Info(string(decision.JobHandedIn), zap.String(decision.KeyJob, "j"),
			zap.String(decision.KeyQueue, "q"), zap.String(decision.KeyOutcome, "answered"), zap.Duration(decision.KeyTook, 40*time.Millisecond))
		flush()
		lines := read(buf.String()).Lines()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].At).To(BeTemporally("~", time.Now(), time.Minute))
		lines[0].At = time.Time{}
		Expect(lines[0]).To(And(HaveField("Node", "n"), HaveField("Kind", decision.JobHandedIn), HaveField("Job", "j"),
			HaveField("Queue", "q"), HaveField("Outcome", "answered"), HaveField("Took", 40*time.Millisecond)))
	})

	It("reads what was known when a best-effort task was placed", func() {
		lines := read(strings.Replace(line, "}", `,"image":"x","placed":"starved","urgency":"late","interference":0.42,"unmeasured":2}`, 1)).Lines()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0]).To(And(HaveField("Image", "x"),
			HaveField("Placed", history.Placed{Reason: "starved", Urgency: "late", Interference: 0.42, Unmeasured: 2})))
	})

	It("reads folders, and names a file that is missing", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "one.log"), []byte(line), 0o600)).To(Succeed())
		log, err := logfile.Open([]string{dir, "-"}, strings.NewReader(line))
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Lines()).To(HaveLen(2))
		_, err = logfile.Open([]string{filepath.Join(dir, "none")}, nil)
		Expect(err).To(MatchError(ContainSubstring("none")))
	})
})

// FuzzParse guards against a line of another program that makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(line))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if lin, ok := logfile.Parse(raw); ok && (lin.Kind == "" || lin.At.IsZero()) {
			t.Errorf("Parse(%q) = %+v, want a kind and a time", raw, lin)
		}
	})
}
