package job_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

var size = resource.New(1000, 1000, 0)

// effectsOf returns the effects of one type.
func effectsOf[E job.Effect](out *job.Output) []E {
	var list []E
	for _, eff := range out.Effects() {
		if typed, is := eff.(E); is {
			list = append(list, typed)
		}
	}
	return list
}

// Guards against tasks that no instance can run and against unbounded state.
var _ = DescribeTable("refuses a job that exceeds a limit", func(spc job.Spec, reason, detail string) {
	ben := newBench()
	out := effectsOf[job.Reply](ben.part.Submit(ben.env(), 0, spc))[0].Outcome()
	Expect(string(out.Reason())).To(Equal(reason))
	Expect(out.Detail()).To(ContainSubstring(detail))
},
	Entry("no key", job.NewSpec(job.KindBuild, 1, size), "invalid", "key"),
	Entry("too many tasks", job.NewSpec(job.KindBuild, 1001, size).WithKey("c", "k"), "invalid", "1 to 1000"),
	Entry("payload", job.NewSpec(job.KindBuild, 1, size).WithKey("c", "k").WithPayload([]byte(strings.Repeat("x", 256<<10+1))), "invalid", "payload"),
	Entry("tasks too large for every instance", job.NewSpec(job.KindBuild, 1, resource.New(33_000, 1, 0)).WithKey("c", "k"), "tooLarge", "32000 mCPU"),
)

// Guards against a watch that is recorded as finished and against a failing job that is retried for ever.
var _ = It("never finishes a watch and parks it after repeated failures", func() {
	ben := newBench()
	ben.claim(ben.part.Submit(ben.env(), 0, job.NewSpec(job.KindWatch, 1, size).WithKey("c", "w")))
	for len(ben.running) > 0 {
		ref := ben.running[0]
		ben.running = nil
		ben.part.Report(ben.env(), 0, []job.Report{job.NewReport(ref, job.NewEnd(job.EndFinished, ""))})
		ben.now = ben.now.Add(6 * time.Second)
		ben.claim(ben.part.Tick(ben.env()))
	}
	sta, _ := ben.part.Status(job.NewID("c", "w"))
	Expect(sta.State()).To(Equal(job.Parked))
	Expect(sta.Tasks()[0].Counters().Attempts()).To(Equal(5))
	Expect(sta.Tasks()[0].Detail()).To(ContainSubstring("ended by itself"))
	Expect(effectsOf[job.Offer](ben.part.Retry(ben.env(), 0, job.NewID("c", "w")))).To(HaveLen(1))
	ben.part.Cancel(ben.env(), 0, job.NewID("c", "w"))
	sta, _ = ben.part.Status(job.NewID("c", "w"))
	Expect(sta.State()).To(Equal(job.Cancelled))
})

// Guards against a burst of stops when a data centre is drained and against a drain that stalls.
var _ = It("stops five percent of the tasks of a draining data centre each second", func() {
	ben := newBench()
	ben.fill(1400)
	ben.part.DrainDataCentres(ben.env(), []fleet.DataCentre{"d0"})
	for range 2 {
		ben.now = ben.now.Add(time.Second)
		Expect(len(effectsOf[job.Stop](ben.part.Tick(ben.env())))).To(BeNumerically("~", 10, 3))
	}
})

// Guards against a task that stays parked although it is known not to have completed, and against a
// second run of a task that may have completed.
var _ = DescribeTable("parks a lost task that must not run again until its end is reported", func(end job.End, state, afterRetry job.State) {
	ben := newBench()
	ben.claim(ben.part.Submit(ben.env(), 0, job.NewSpec(job.KindBuild, 1, size).WithKey("c", "k").WithRerun(job.RerunNever)))
	ref, id := ben.running[0], job.NewID("c", "k")
	ben.now = ben.now.Add(20 * time.Second)
	Expect(effectsOf[job.Offer](ben.part.Tick(ben.env()))).To(BeEmpty())
	expectState := func(want job.State) {
		GinkgoHelper()
		sta, _ := ben.part.Status(id)
		Expect(sta.Tasks()[0].State()).To(Equal(want))
	}
	expectState(job.Parked)
	sta, _ := ben.part.Status(id)
	Expect(sta.Tasks()[0].Detail()).To(And(ContainSubstring("may have run on"), ContainSubstring("retries the job")))
	ben.part.Report(ben.env(), 0, []job.Report{job.NewReport(ref, end)})
	expectState(state)
	ben.part.Retry(ben.env(), 0, id)
	expectState(afterRetry)
},
	Entry("finished", job.NewEnd(job.EndFinished, ""), job.Finished, job.Finished),
	Entry("failed", job.NewEnd(job.EndFailed, ""), job.Offered, job.Offered),
	Entry("checkpointed", job.NewEnd(job.EndCheckpointed, "c"), job.Offered, job.Offered),
	Entry("stopped", job.NewEnd(job.EndStopped, ""), job.Offered, job.Offered),
	Entry("not started", job.NewEnd(job.EndNotStarted, ""), job.Offered, job.Offered),
	Entry("lost", job.NewEnd(job.EndLost, ""), job.Parked, job.Offered),
	Entry("finished with a result that is too large", job.NewEnd(job.EndFinished, "").
		WithResult(make([]byte, job.MaxResultBytes+1), ""), job.Parked, job.Offered),
)

// Guards against work lost because tasks without checkpoints are stopped early in a drain, against a
// checkpoint requested from such tasks, and against a data centre that is not emptied.
var _ = It("drains the tasks without checkpoints last and requests no checkpoint from them", func() {
	ben := newBench()
	for _, checkpointable := range []bool{false, true} {
		spc := job.NewSpec(job.KindBuild, 700, size).WithKey("c", fmt.Sprint(checkpointable)).WithCheckpoints(checkpointable)
		out := ben.part.Submit(ben.env(), 0, spc)
		for ben.claim(out); len(ben.running)%700 > 0; ben.claim(out) {
			out = ben.part.Tick(ben.env())
		}
	}
	last := job.NewID("c", "false")
	ben.part.Renew(ben.env(), 0, ben.holders[0], []job.Progress{job.NewProgress(ben.running[0], 50, "checkpoint")})
	ben.part.DrainDataCentres(ben.env(), []fleet.DataCentre{"d0"})
	var orders []job.StopOrder
	for range 25 {
		ben.now = ben.now.Add(time.Second)
		for pos, ref := range ben.running {
			ben.part.Renew(ben.env(), 0, ben.holders[pos], []job.Progress{job.NewProgress(ref, 50, "")})
		}
		for _, stp := range effectsOf[job.Stop](ben.part.Tick(ben.env())) {
			orders = append(orders, stp.Orders()...)
		}
	}
	drained := 0
	for _, hol := range ben.holders {
		var num int
		fmt.Sscanf(string(hol.Instance()), "i%d", &num)
		drained += int(job.Bit(num%7 == 0))
	}
	Expect(orders).To(HaveLen(drained), "the data centre is emptied")
	for pos, ord := range orders {
		uncheckpointed := ord.Ref().Job() == last
		Expect(ord.Checkpoint()).To(Equal(!uncheckpointed))
		Expect(uncheckpointed || pos == 0 || orders[pos-1].Ref().Job() != last).To(BeTrue(), "order %d", pos)
	}
	sta, _ := ben.part.Status(last)
	Expect(sta.Tasks()[ben.running[0].Index()].Checkpoint()).To(BeEmpty())
	Expect(orders[len(orders)-1].Ref().Job()).To(Equal(last))
})
