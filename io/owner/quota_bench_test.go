package owner_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
	"jacinthpost/io/joblog"
	"jacinthpost/io/owner"
)

// Planned size of the fleet: 1,400 instances, 50 teams, 64 owner processes.
const (
	benchTeams  = 50
	benchOwners = 64
)

var benchFleet = resource.New(1_400*21_000, 1_400*64_000, 0)

// singleConnCaller makes the calls for all addresses over one connection.
type singleConnCaller struct{ client *rpc.Client }

// Call implements owner.Caller.
func (scc singleConnCaller) Call(_ context.Context, _, method string, args, reply any) error {
	return scc.client.Call(method, args, reply)
}

// reportingProcess is an owner process with tasks of all teams.
type reportingProcess struct {
	client   *owner.Client
	self     fleet.Process
	reporter quota.Reporter
	round    int64
	now      time.Time // time of the reporter; the allocator uses the real time
}

// report changes the use of some teams and reports it.
func (rpr *reportingProcess) report(b *testing.B, changed int, bounded bool) quota.Answer {
	rpr.round++
	part := benchFleet.DividedBy(benchTeams * benchOwners)
	var uses []quota.Use
	for num := range benchTeams {
		amounts := part
		if num < changed { // by a tenth of what other processes hold, so that the answer includes the change
			amounts = part.Plus(benchFleet.DividedBy(benchTeams * 10).Times(rpr.round % 2))
		}
		use := quota.NewUse(fleet.Team(fmt.Sprintf("team-%02d", num)), amounts)
		if bounded {
			bound := benchFleet.DividedBy(2)
			use = use.Bounded(bound, rpr.reporter.Limit(use.Team(), bound, benchOwners))
			if num < changed {
				use = use.Waiting(resource.New(1000+rpr.round%2, 4096, 0))
			}
		}
		uses = append(uses, use)
	}
	rpr.now = rpr.now.Add(quota.QuietPeriod)
	complete, sent := rpr.reporter.Report(uses, benchFleet.DividedBy(quota.GranularityParts*benchOwners), rpr.now)
	ans, err := rpr.client.ReportUse(b.Context(), rpr.self, complete, sent, benchFleet.DividedBy(quota.GranularityParts*10))
	if err != nil {
		b.Fatal(err)
	}
	rpr.reporter.Answered(sent, ans)
	return ans
}

// BenchmarkReport counts the bytes of quota reports on the connection, including the
// headers of net/rpc. Two processes report alternately, and the answer to one includes
// the changes of the other, so that it covers as many teams as the report. Bounded teams
// may not borrow; those that change have waiting tasks and get a new limit.
func BenchmarkReport(b *testing.B) {
	bow, addr := newBenchOwner(b, 1)
	var sent, received atomic.Int64
	var pair []*reportingProcess
	for num := range 2 {
		con, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		scc := singleConnCaller{client: rpc.NewClient(meteredConn{con, &sent, &received})}
		pair = append(pair, &reportingProcess{client: owner.NewClient(joblog.NewRows(bow.table, 1), scc), now: time.Unix(1_000, 0),
			self: fleet.NewProcess(fleet.InstanceID(fmt.Sprintf("agent-%04d", num)), fleet.Incarnation(time.Now().UnixMicro()))})
	}
	for settled := false; !settled; <-time.After(100 * time.Millisecond) {
		settled = pair[0].report(b, 0, false).Settled()
		pair[1].report(b, 0, false)
	}
	for _, bounded := range []bool{false, true} {
		for _, complete := range []bool{false, true} {
			for _, changed := range []int{0, 1, 2, quota.ChangeLimit, benchTeams} {
				if complete != (changed == benchTeams) {
					continue
				}
				b.Run(fmt.Sprintf("bounded=%t/complete=%t/teams=%d", bounded, complete, changed), func(b *testing.B) {
					for range 4 * benchTeams { // until the answers have covered all teams
						for _, rpr := range pair {
							rpr.report(b, changed, bounded)
						}
					}
					up, down, told, num := sent.Load(), received.Load(), 0, 0
					for b.Loop() {
						rpr := pair[num%len(pair)]
						if complete {
							rpr.reporter.Lost()
						}
						told += len(rpr.report(b, changed, bounded).Allotments())
						num++
					}
					b.ReportMetric(float64(sent.Load()-up)/float64(num), "B-received/report")
					b.ReportMetric(float64(received.Load()-down)/float64(num), "B-sent/report")
					b.ReportMetric(float64(told)/float64(num), "teams-told/report")
				})
			}
		}
	}
}
