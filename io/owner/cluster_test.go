package owner_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/resource"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/joblog"
	"jacinthpost/io/message"
	"jacinthpost/io/owner"
)

var errUnreachable = errors.New("unreachable")

// cluster runs owners and agents in one process on the clock of a synctest
// bubble. Calls between them are function calls, which fail for a process that has ended.
type cluster struct {
	Gomega
	table      *recordingTable
	client     *owner.Client
	partitions int
	processes  map[string]*process
	mu         sync.Mutex
	running    map[string]int
	finished   map[string]int
	violations []string
	takenOut   atomic.Pointer[[]fleet.DataCentre]
	stopCalls  atomic.Int64
}

// process is an owner and the agent in the same process.
type process struct {
	clu      *cluster
	id       string
	owner    *owner.Owner[*job.SimplePlacement]
	service  *owner.Service[*job.SimplePlacement]
	ctx      context.Context
	cancel   context.CancelFunc
	gate     atomic.Pointer[chan struct{}] // if set, the control goroutine blocks until it is closed
	reserved int
	done     sync.WaitGroup
}

// recordingTable records when log rows are written. It delays the answers to renewals of the ownership.
type recordingTable struct {
	*storefake.Store
	mu           sync.Mutex
	writes       map[string][]time.Time
	renewalDelay atomic.Int64 // in nanoseconds
}

func (tab *recordingTable) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
	for _, wrt := range txn.Writes() {
		if num, _, isLog := strings.Cut(wrt.Key(), "/log/"); isLog && !wrt.IsDeletion() {
			tab.mu.Lock()
			tab.writes[num] = append(tab.writes[num], time.Now())
			tab.mu.Unlock()
		}
	}
	res, err := tab.Store.Commit(ctx, txn)
	if !strings.Contains(txn.Writes()[0].Key(), "/log/") {
		<-time.After(time.Duration(tab.renewalDelay.Load()))
	}
	return res, err
}

// newCluster starts processes, all of which may own partitions.
func newCluster(t *testing.T, processes, partitions int) *cluster {
	clu := &cluster{Gomega: NewWithT(t), partitions: partitions, processes: map[string]*process{},
		running: map[string]int{}, finished: map[string]int{},
		table: &recordingTable{Store: &storefake.Store{}, writes: map[string][]time.Time{}}}
	clu.client = owner.NewClient(joblog.NewRows(clu.table, partitions), clu)
	var list []owner.Member
	for idx := range processes {
		id := string(rune('a' + idx))
		hint := job.NewInstance(fleet.NewProcess(fleet.InstanceID(id), 1), fleet.NewLocation("r", "d", "k"), resource.New(8000, 8000, 0), job.Alive)
		list = append(list, owner.NewMember(hint, id, true))
	}
	view := owner.NewView(list)
	for idx := range processes {
		clu.start(string(rune('a'+idx)), view)
	}
	return clu
}

func (clu *cluster) start(id string, view *owner.View) {
	prc := &process{clu: clu, id: id}
	prc.ctx, prc.cancel = context.WithCancel(context.Background())
	ports := owner.NewPorts(clu.table, &storefake.ObjectStore{Store: clu.table.Store}, clu, settings{clu}).
		WithView(func() *owner.View {
			if gate := prc.gate.Load(); gate != nil {
				<-*gate
			}
			return view
		})
	cfg := owner.NewConfig(fleet.NewPeer(fleet.InstanceID(id), 1, id), joblog.NewRows(clu.table, clu.partitions), "r", 1)
	prc.owner = owner.New(cfg, ports, func(int) *job.SimplePlacement { return &job.SimplePlacement{} })
	prc.service = prc.owner.Service(prc.ctx)
	clu.processes[id] = prc
	prc.done.Go(func() { prc.owner.Run(prc.ctx) })
}

// stop ends all processes and checks the invariants: no task runs or completes twice,
// and the rate of log writes stays within its bound.
func (clu *cluster) stop() {
	for _, prc := range clu.processes {
		prc.cancel()
	}
	for _, prc := range clu.processes {
		prc.done.Wait()
	}
	clu.Expect(clu.violations).To(BeEmpty())
	for key, num := range clu.finished {
		clu.Expect(num).To(Equal(1), "completions of %s", key)
	}
	// A change of owner may add one write to the five a second.
	for num, times := range clu.table.writes {
		for pos := 6; pos < len(times); pos++ {
			clu.Expect(times[pos].Sub(times[pos-6])).To(BeNumerically(">=", time.Second), "log writes of %s", num)
		}
	}
}

// settings has no data centre out of service without a cluster.
type settings struct{ clu *cluster }

func (settings) StartsAllowed(fleet.DataCentre) bool { return true }
func (settings) Complete(spc job.Spec) job.Spec      { return spc }

func (set settings) TakenOut() []fleet.DataCentre {
	if set.clu == nil {
		return nil
	}
	if out := set.clu.takenOut.Load(); out != nil {
		return *out
	}
	return nil
}

// pause blocks the control goroutine of a process until resume is called, as if the
// operating system had suspended the process.
func (prc *process) pause() (resume func()) {
	gate := make(chan struct{})
	prc.gate.Store(&gate)
	return func() {
		prc.gate.Store(nil)
		close(gate)
	}
}

// Call implements owner.Caller.
func (clu *cluster) Call(ctx context.Context, addr, method string, args, reply any) error {
	prc := clu.processes[addr]
	if prc == nil || prc.ctx.Err() != nil {
		return errUnreachable
	}
	svc := prc.service
	calls := map[string]func() error{
		"Owner.Submit":    func() error { return invoke(ctx, svc.Submit, args, reply) },
		"Owner.Cancel":    func() error { return invoke(ctx, svc.Cancel, args, reply) },
		"Owner.Status":    func() error { return invoke(ctx, svc.Status, args, reply) },
		"Owner.Claim":     func() error { return invoke(ctx, svc.Claim, args, reply) },
		"Owner.Renew":     func() error { return invoke(ctx, svc.Renew, args, reply) },
		"Owner.Report":    func() error { return invoke(ctx, svc.Report, args, reply) },
		"Owner.List":      func() error { return invoke(ctx, svc.List, args, reply) },
		"Owner.Summarize": func() error { return invoke(ctx, svc.Summarize, args, reply) },
		"Agent.Offer":     func() error { return invoke(ctx, prc.offer, args, reply) },
	}
	if call := calls[method]; call != nil {
		return call()
	}
	if method == "Agent.Stop" {
		clu.stopCalls.Add(1)
	}
	return errUnreachable // Adopt and Stop: the agent renews with the new owner by itself
}

func invoke[A, R any](ctx context.Context, fun func(A, *R) error, args, reply any) error {
	rep, res := new(R), make(chan error, 1)
	go func() { res <- fun(args.(A), rep) }()
	select {
	case err := <-res:
		if err == nil {
			*reply.(*R) = *rep
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer accepts up to eight tasks and claims each.
func (prc *process) offer(args message.OfferArgs, rep *message.OfferReply) error {
	prc.clu.mu.Lock()
	defer prc.clu.mu.Unlock()
	rep.Accepted = prc.reserved < 8
	if rep.Accepted {
		prc.reserved++
		prc.done.Go(func() { prc.run(args) })
	}
	rep.Free = message.Resources{MilliCPU: int64(8-prc.reserved) * 1000, MemoryMB: int64(8-prc.reserved) * 1000}
	return nil
}

// run claims an offered task, runs it for three seconds and reports its end.
func (prc *process) run(args message.OfferArgs) {
	clu, ref := prc.clu, args.Task.Ref
	key := fmt.Sprintf("%s/%d", ref.Job, ref.Index)
	defer clu.withLock(func() { prc.reserved-- })
	sentAt := time.Now()
	var clm message.ClaimReply
	err := prc.call(args.OwnerAddress, "Owner.Claim", message.ClaimArgs{Partition: args.Partition, Ref: ref, Instance: prc.id, Incarnation: 1}, &clm)
	if err != nil || !clm.Granted {
		return
	}
	until := lease.HolderEnd(sentAt, time.Duration(clm.LeaseMillis)*time.Millisecond)
	end := message.TaskEnd{Ref: ref, End: message.EndFinished}
	clu.withLock(func() {
		clu.running[key]++
		if clu.running[key] > 1 {
			clu.violations = append(clu.violations, key+" runs twice")
		}
	})
	for left := 3; left > 0; left-- {
		select {
		case <-time.After(time.Second):
		case <-prc.ctx.Done():
			return
		}
		until = prc.renew(args.Partition, ref, until)
		if !time.Now().Before(until) {
			end.End, end.Checkpoint = message.EndCheckpointed, "expired"
			break
		}
	}
	clu.withLock(func() { clu.running[key]-- })
	prc.report(args.Partition, end, key)
}

func (clu *cluster) withLock(fun func()) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	fun()
}

func (prc *process) call(addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(prc.ctx, 3*time.Second)
	defer cancel()
	return prc.clu.Call(ctx, addr, method, args, reply)
}

func (prc *process) renew(num int, ref message.TaskRef, until time.Time) time.Time {
	var rep message.RenewReply
	sentAt := time.Now()
	args := message.RenewArgs{Partition: num, Instance: prc.id, Incarnation: 1, Tasks: []message.TaskStatus{{Ref: ref}}}
	if err := prc.call(prc.clu.rowOwner(num), "Owner.Renew", args, &rep); err == nil && len(rep.Granted) > 0 {
		return lease.HolderEnd(sentAt, time.Duration(rep.LeaseMillis[0])*time.Millisecond)
	}
	return until
}

// report repeats the report of an end until it is acknowledged.
func (prc *process) report(num int, end message.TaskEnd, key string) {
	clu := prc.clu
	for prc.ctx.Err() == nil {
		var rep message.ReportReply
		args := message.ReportArgs{Partition: num, Instance: prc.id, Incarnation: 1, Ends: []message.TaskEnd{end}}
		if err := prc.call(clu.rowOwner(num), "Owner.Report", args, &rep); err == nil && len(rep.Recorded) > 0 {
			if end.End == message.EndFinished {
				clu.withLock(func() { clu.finished[key]++ })
			}
			return
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-prc.ctx.Done():
		}
	}
}

// expectReported checks that a number of finished jobs is reported and listed,
// each once, from all partitions.
func (clu *cluster) expectReported(jobs int) {
	rpt := clu.client.Report(context.Background(), time.Now().Add(-time.Hour))
	clu.Expect(rpt.MissingPartitions).To(BeEmpty())
	finished := 0
	for _, row := range rpt.Rows {
		finished += row.Finished
	}
	clu.Expect(finished).To(Equal(jobs))
	list := clu.client.List(context.Background(), message.ListArgs{State: "finished", Limit: jobs + 1})
	clu.Expect(list.Jobs).To(HaveLen(jobs))
	seen := map[string]bool{}
	for _, sum := range list.Jobs {
		seen[sum.JobID] = true
	}
	clu.Expect(seen).To(HaveLen(jobs))
}

// rowOwner returns the owner's address in the row, which agents otherwise learn from Adopt.
func (clu *cluster) rowOwner(num int) string {
	list, err := joblog.NewRows(clu.table, clu.partitions).Read(context.Background(), num)
	if err != nil {
		return ""
	}
	return list[0].Row().Owner().Address()
}

// owned returns how many partitions a process serves.
func (prc *process) owned() int {
	ctx, cancel := context.WithTimeout(prc.ctx, time.Second)
	defer cancel()
	nums, err := prc.owner.Owned(ctx)
	if err != nil {
		return 0
	}
	return len(nums)
}

func (clu *cluster) allOwned() int {
	sum := 0
	for _, prc := range clu.processes {
		sum += prc.owned()
	}
	return sum
}

func spec(key string, tasks int) message.JobSpec {
	return message.JobSpec{Key: key, Workspace: "c", Kind: "build", Tasks: tasks, Resources: message.Resources{MilliCPU: 1000, MemoryMB: 1000}}
}

// submit submits a job and reports whether it was acknowledged.
func (clu *cluster) submit(key string, tasks int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return clu.client.Submit(ctx, spec(key, tasks)).Outcome == "answered"
}

// state returns the state of a job, or the outcome of the call if it was not answered.
func (clu *cluster) state(key string) string {
	rep := clu.client.Status(context.Background(), job.NewID("c", key))
	if rep.Outcome != "answered" {
		return rep.Outcome
	}
	return rep.Status.State
}
