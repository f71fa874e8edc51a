package scene

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
)

// FileNext files a change under the next ticket number, and returns the number and the time
// of acceptance.
func FileNext(ctx context.Context, fle *harness.Fleet, chg harness.Change) (uint64, time.Time) {
	GinkgoHelper()
	sta, err := fle.State(ctx, 0)
	Expect(err).NotTo(HaveOccurred())
	fld, err := fle.File(ctx, 0, sta.Head+1, chg)
	Expect(err).NotTo(HaveOccurred())
	Expect(fld.Outcome).To(Equal("accepted"), fld.Detail)
	return sta.Head + 1, time.Now()
}

// StartsAt returns a function that counts the task starts on an instance after a time.
func StartsAt(ctx context.Context, fle *harness.Fleet, ins *harness.Instance, after time.Time) func() int {
	return func() int {
		all, err := fle.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for _, run := range all {
			if run.Instance == ins.ID() && run.Started > after.UnixMilli() {
				count++
			}
		}
		return count
	}
}

// AwaitInForce checks that a ticket is in force at every process within InForce of its
// acceptance.
func AwaitInForce(ctx context.Context, fle *harness.Fleet, num uint64, accepted time.Time) {
	GinkgoHelper()
	want := len(fle.Entries()) + len(fle.Instances())
	for ent := range fle.Entries() {
		Eventually(func() ([]string, error) { return fle.InForce(ctx, ent, num) }).WithContext(ctx).
			Within(time.Until(accepted.Add(InForce))).WithPolling(20*time.Millisecond).Should(HaveLen(want), "ticket %d at entry %d", num, ent)
	}
}

// PollHeads returns a load that fails the spec if the confirmed head of an entry decreases.
func PollHeads(fle *harness.Fleet) func(ctx context.Context, num int) {
	var mut sync.Mutex
	highest := map[int]uint64{}
	return func(ctx context.Context, num int) {
		mut.Lock()
		defer mut.Unlock()
		sta, err := fle.State(ctx, num%2)
		if err != nil || !sta.Confirmed {
			return // the entry is being restarted
		}
		Expect(sta.Head).To(BeNumerically(">=", highest[num%2]), "head at entry %d", num%2)
		highest[num%2] = sta.Head
	}
}
