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

// only returns the effects of one type.
func only[E job.Effect](out *job.Output) []E {
	var list []E
	for _, eff := range out.Effects() {
		if typed, is := eff.(E); is {
			list = append(list, typed)
		}
	}
	return list
}

// Guards against work that no instance can run, and against unbounded state.
var _ = DescribeTable("a job that breaks a limit is refused", func(spc job.Spec, reason, detail string) {
	ben := newBench()
	out := only[job.Reply](ben.part.Submit(ben.env(), 0, spc))[0].Outcome()
	Expect(string(out.Reason())).To(Equal(reason))
	Expect(out.Detail()).To(ContainSubstring(detail))
},
	Entry("no key", job.NewSpec(job.KindBuild, 1, size), "invalid", "key"),
	Entry("too many tasks", job.NewSpec(job.KindBuild, 1001, size).WithKey("c", "k"), "invalid", "1 to 1000"),
	Entry("payload", job.NewSpec(job.KindBuild, 1, size).WithKey("c", "k").WithPayload([]byte(strings.Repeat("x", 256<<10+1))), "invalid", "payload"),
	Entry("too large", job.NewSpec(job.KindBuild, 1, resource.New(33_000, 1, 0)).WithKey("c", "k"), "tooLarge", "32000 mCPU"),
)

// Guards against a watch that counts as done, and against a poison job that is tried for ever.
var _ = It("never finishes a watch and sets it aside after repeated failures", func() {
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
	Expect(only[job.Offer](ben.part.Retry(ben.env(), 0, job.NewID("c", "w")))).To(HaveLen(1))
	ben.part.Cancel(ben.env(), 0, job.NewID("c", "w"))
	sta, _ = ben.part.Status(job.NewID("c", "w"))
	Expect(sta.State()).To(Equal(job.Cancelled))
})

// Guards against a burst of evictions when a data centre is taken out, and against a drain that stalls.
var _ = It("moves five percent of the tasks of a data centre a second", func() {
	ben := newBench()
	ben.fill(1400)
	ben.part.DrainDataCentres(ben.env(), []fleet.DataCentre{"d0"})
	for range 2 {
		ben.now = ben.now.Add(time.Second)
		Expect(len(only[job.Stop](ben.part.Tick(ben.env())))).To(BeNumerically("~", 10, 3))
	}
})

// Guards against work that is parked although its run is known to have stopped
// before its end, and against work that may have run and starts again.
var _ = DescribeTable("a task that must not run again and whose instance is lost", func(end job.End, state, afterRetry job.State) {
	ben := newBench()
	ben.claim(ben.part.Submit(ben.env(), 0, job.NewSpec(job.KindBuild, 1, size).WithKey("c", "k").WithRerun(job.RerunNever)))
	ref, id := ben.running[0], job.NewID("c", "k")
	ben.now = ben.now.Add(20 * time.Second)
	Expect(only[job.Offer](ben.part.Tick(ben.env()))).To(BeEmpty())
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
	Entry("no record", job.NewEnd(job.EndLost, ""), job.Parked, job.Offered),
	Entry("finished with a result that is too large", job.NewEnd(job.EndFinished, "").
		WithResult(make([]byte, job.MaxResultBytes+1), ""), job.Parked, job.Offered),
)

// Guards against work lost although it could be saved, against a checkpoint asked
// of tasks that can't resume from one, and against a data centre that is not emptied.
var _ = It("moves the tasks that start from the beginning last and asks them for no checkpoint", func() {
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
		for _, stp := range only[job.Stop](ben.part.Tick(ben.env())) {
			orders = append(orders, stp.Orders()...)
		}
	}
	there := 0
	for _, hol := range ben.holders {
		var num int
		fmt.Sscanf(string(hol.Instance()), "i%d", &num)
		there += int(job.Bit(num%7 == 0))
	}
	Expect(orders).To(HaveLen(there), "the data centre is emptied")
	for pos, ord := range orders {
		restarts := ord.Ref().Job() == last
		Expect(ord.Checkpoint()).To(Equal(!restarts))
		Expect(restarts || pos == 0 || orders[pos-1].Ref().Job() != last).To(BeTrue(), "order %d", pos)
	}
	sta, _ := ben.part.Status(last)
	Expect(sta.Tasks()[ben.running[0].Index()].Checkpoint()).To(BeEmpty())
	Expect(orders[len(orders)-1].Ref().Job()).To(Equal(last))
})
