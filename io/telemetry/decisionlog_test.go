package telemetry_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/io/telemetry"
)

// stuck is an output whose writes block until the channel is closed.
type stuck struct{ until chan struct{} }

func (stk stuck) Write(line []byte) (int, error) {
	<-stk.until
	return len(line), nil
}

var _ = Describe("decision log", func() {
	It("writes JSON lines and drops those after the end", func() {
		var out bytes.Buffer
		log, flush := telemetry.NewDecisionLog(&out)
		log.Info("jobFinished", zap.String("job", "j"))
		flush()
		log.Info("late")
		Expect(out.String()).To(ContainSubstring(`"message":"jobFinished","job":"j"`))
		Expect(out.String()).NotTo(ContainSubstring("late"))
	})

	It("never blocks on an output that nobody reads, not even at the end", func() {
		stk := stuck{until: make(chan struct{})}
		DeferCleanup(func() { close(stk.until) })
		log, flush := telemetry.NewDecisionLog(stk)
		begun := time.Now()
		for num := range 20000 {
			log.Info("line " + string(rune('a'+num%26)))
		}
		flush()
		Expect(time.Since(begun)).To(BeNumerically("<", 5*time.Second))
	})
})
