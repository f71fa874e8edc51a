package failure_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/table/tableapi"
)

// racedWorkspace is changed by both operators concurrently.
const racedWorkspace = "raced"

// operator files tickets through one entry and records those that were accepted.
type operator struct {
	fleet    *harness.Fleet
	entry    int
	accepted map[uint64]string // content of its accepted tickets by number
}

// workspaceState returns the complete state of a workspace with content in its settings.
func workspaceState(active bool, content string) map[string]any {
	return map[string]any{"active": active, "settings": map[string]string{"content": content}}
}

// versionOf returns the version and state of an object at an entry, zero if there is none.
func versionOf(sta harness.State, kind, name string) (uint64, string) {
	for _, obj := range sta.Objects {
		if obj.Kind == kind && obj.Name == name {
			return obj.Version, string(obj.State)
		}
	}
	return 0, ""
}

// race files changes of the shared object until enough are accepted. If an outcome
// is unknown, it files the same ticket again until the outcome is known.
func (opr *operator) race(ctx context.Context, enough int) {
	for try := 0; len(opr.accepted) < enough && ctx.Err() == nil; try++ {
		sta, err := opr.fleet.State(ctx, opr.entry)
		Expect(err).NotTo(HaveOccurred())
		base, _ := versionOf(sta, "workspace", racedWorkspace)
		content := fmt.Sprintf("operator %d try %d", opr.entry, try)
		chg := harness.Change{Kind: "workspace", Name: racedWorkspace, BaseVersion: base, State: workspaceState(true, content)}
		if opr.fileUntilKnown(ctx, sta.Head+1, chg) {
			opr.accepted[sta.Head+1] = content
		}
		_ = control.Pause(ctx, 20*time.Millisecond)
	}
}

// fileUntilKnown files a ticket until its outcome is known and reports whether it was accepted.
func (opr *operator) fileUntilKnown(ctx context.Context, num uint64, chg harness.Change) bool {
	outcome := ""
	Eventually(func(gom Gomega) {
		fld, err := opr.fleet.File(ctx, opr.entry, num, chg)
		gom.Expect(err).NotTo(HaveOccurred())
		outcome = fld.Outcome
		gom.Expect(outcome).To(BeElementOf("accepted", "same", "conflict", "gap", "wrongBase"), fld.Detail)
	}).WithContext(ctx).Within(20 * time.Second).Should(Succeed())
	return outcome == "accepted" || outcome == "same"
}

// contentOf returns the content of an accepted ticket as an entry serves it.
func contentOf(ctx context.Context, fle *harness.Fleet, ent int, num uint64) string {
	GinkgoHelper()
	var tic struct {
		Changes []struct {
			State struct {
				Settings map[string]string `json:"settings"`
			} `json:"state"`
		} `json:"changes"`
	}
	_, err := harness.Call(ctx, "GET", fle.Entries()[ent].Address()+"/v1/tickets/"+strconv.FormatUint(num, 10), nil, nil, &tic)
	Expect(err).NotTo(HaveOccurred())
	Expect(tic.Changes).To(HaveLen(1), "ticket %d at entry %d", num, ent)
	return tic.Changes[0].State.Settings["content"]
}

// restartAll kills and restarts every entry and agent at once.
func restartAll(ctx context.Context, fle *harness.Fleet) {
	GinkgoHelper()
	var all []*harness.Process
	for _, ent := range fle.Entries() {
		all = append(all, ent.Process())
	}
	for _, ins := range fle.Instances() {
		all = append(all, ins.Agent())
	}
	for _, pro := range all {
		pro.Kill()
	}
	for _, pro := range all {
		Expect(pro.Restart()).To(Succeed())
	}
	scene.AwaitComplete(ctx, fle)
}

var _ = Describe("invariant 10 (configuration)", func() {
	// Guards against two tickets with the same number, lost or reverted changes, and a
	// head that decreases, when operators race, the store loses answers, and every
	// process is restarted.
	It("keeps every accepted ticket when operators race and all processes are killed", func(ctx SpecContext) {
		const enough = 8
		fle := scene.StartFleet(ctx, "sen-vang")
		operators := []*operator{{fleet: fle, entry: 0, accepted: map[uint64]string{}}, {fleet: fle, entry: 1, accepted: map[uint64]string{}}}
		scene.UnderLoad(ctx, 2, scene.PollHeads(fle), func() {
			scene.LoseAnswers(ctx, fle, 30)
			scene.InParallel(len(operators), func(num int) { operators[num].race(ctx, enough) })
			scene.SetStore(ctx, fle, tableapi.Faults{})
			expectAccepted(ctx, fle, operators)
			restartAll(ctx, fle)
			expectAccepted(ctx, fle, operators)
		})
	}, SpecTimeout(90*time.Second))

	// Guards against processes that apply a ticket late or not at all.
	It("brings a ticket into force at every process within 3 s", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "bayou-paddle")
		for try := range 5 {
			chg := harness.Change{Kind: "workspace", Name: fmt.Sprintf("workspace-%d", try), State: workspaceState(true, "first")}
			num, accepted := scene.FileNext(ctx, fle, chg)
			scene.AwaitInForce(ctx, fle, num, accepted)
		}
	}, SpecTimeout(time.Minute))

	// Guards against settings that are lost when the workspace is cancelled or all
	// processes restart: a cancelled workspace may be activated again later.
	It("keeps the settings of a cancelled workspace", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "bayou-paddle")
		num, _ := scene.FileNext(ctx, fle, harness.Change{Kind: "workspace", Name: "demo", State: workspaceState(true, "kept")})
		num, accepted := fileNextAt(ctx, fle, num+1, harness.Change{Kind: "workspace", Name: "demo", BaseVersion: num, State: workspaceState(false, "kept")})
		scene.AwaitInForce(ctx, fle, num, accepted)
		for range 2 {
			for ent := range fle.Entries() {
				expectCancelled(ctx, fle, ent, num)
			}
			restartAll(ctx, fle)
		}
	}, SpecTimeout(time.Minute))
})

// fileNextAt files a change under a number whose predecessor may not have reached the entry yet.
func fileNextAt(ctx context.Context, fle *harness.Fleet, num uint64, chg harness.Change) (uint64, time.Time) {
	GinkgoHelper()
	fld, err := fle.File(ctx, 0, num, chg)
	Expect(err).NotTo(HaveOccurred())
	Expect(fld.Outcome).To(Equal("accepted"), fld.Detail)
	return num, time.Now()
}

func expectCancelled(ctx context.Context, fle *harness.Fleet, ent int, num uint64) {
	GinkgoHelper()
	sta, err := fle.State(ctx, ent)
	Expect(err).NotTo(HaveOccurred())
	ver, state := versionOf(sta, "workspace", "demo")
	Expect(ver).To(Equal(num))
	Expect(state).To(MatchJSON(`{"active":false,"settings":{"content":"kept"}}`))
	env, err := fle.Request(ctx, ent, "refused", "", false, scene.RequestLimit)
	Expect(err).NotTo(HaveOccurred())
	Expect(env.Outcome).To(Equal(scene.NotRun))
}

// expectAccepted checks that the accepted tickets form one sequence without gaps or
// duplicate numbers, and that every entry has the last of them in force.
func expectAccepted(ctx context.Context, fle *harness.Fleet, operators []*operator) {
	GinkgoHelper()
	all := map[uint64]string{}
	for _, opr := range operators {
		for num, content := range opr.accepted {
			Expect(all).NotTo(HaveKey(num), "ticket %d was reported as accepted to both operators", num)
			all[num] = content
		}
	}
	head := uint64(len(all))
	for ent := range fle.Entries() {
		Eventually(func(gom Gomega) {
			sta, err := fle.State(ctx, ent)
			gom.Expect(err).NotTo(HaveOccurred())
			gom.Expect(sta.Head).To(Equal(head))
			ver, state := versionOf(sta, "workspace", racedWorkspace)
			want, _ := json.Marshal(workspaceState(true, all[head]))
			gom.Expect(ver).To(Equal(head))
			gom.Expect(state).To(MatchJSON(want))
		}).WithContext(ctx).Within(scene.InForce).Should(Succeed())
		for num, content := range all {
			Expect(contentOf(ctx, fle, ent, num)).To(Equal(content), "ticket %d at entry %d", num, ent)
		}
	}
}
