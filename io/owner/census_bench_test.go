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

// Amounts at the two-year size: 1,400 instances, 50 teams, 64 owner processes.
const (
	benchTeams  = 50
	benchOwners = 64
)

var benchFleet = resource.New(1_400*21_000, 1_400*64_000, 0)

// line is a connection to one process; it makes the calls for every address.
type line struct{ client *rpc.Client }

// Call implements owner.Caller.
func (lin line) Call(_ context.Context, _, method string, args, reply any) error {
	return lin.client.Call(method, args, reply)
}

// reporting is an owner process with tasks of all teams.
type reporting struct {
	client   *owner.Client
	self     fleet.Process
	reporter quota.Reporter
	round    int64
	now      time.Time // of the reporter; the census takes the real time
}

// report changes the use of some teams and reports it.
func (rpt *reporting) report(b *testing.B, changed int, bounded bool) quota.Answer {
	rpt.round++
	part := benchFleet.DividedBy(benchTeams * benchOwners)
	var uses []quota.Use
	for num := range benchTeams {
		amounts := part
		if num < changed { // by a tenth of what other processes hold, so that the answer tells it too
			amounts = part.Plus(benchFleet.DividedBy(benchTeams * 10).Times(rpt.round % 2))
		}
		use := quota.NewUse(fleet.Team(fmt.Sprintf("team-%02d", num)), amounts)
		if bounded {
			bound := benchFleet.DividedBy(2)
			use = use.Bounded(bound, rpt.reporter.Limit(use.Team(), bound, benchOwners))
			if num < changed {
				use = use.Waiting(resource.New(1000+rpt.round%2, 4096, 0))
			}
		}
		uses = append(uses, use)
	}
	rpt.now = rpt.now.Add(quota.QuietPeriod)
	complete, sent := rpt.reporter.Report(uses, benchFleet.DividedBy(quota.GranularityParts*benchOwners), rpt.now)
	ans, err := rpt.client.ReportUse(b.Context(), rpt.self, complete, sent, benchFleet.DividedBy(quota.GranularityParts*10))
	if err != nil {
		b.Fatal(err)
	}
	rpt.reporter.Answered(sent, ans)
	return ans
}

// BenchmarkReport counts the bytes of quota reports on the connection, with the
// headers of net/rpc. Two processes report in turn, and the changes of each are
// told to the other, so that a report of so many teams has an answer of as many.
// Bounded teams may not borrow; those that change wait and get a new limit.
func BenchmarkReport(b *testing.B) {
	sit, addr := newSite(b, 1)
	var sent, received atomic.Int64
	var pair []*reporting
	for num := range 2 {
		con, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		lin := line{client: rpc.NewClient(meter{con, &sent, &received})}
		pair = append(pair, &reporting{client: owner.NewClient(joblog.NewRows(sit.table, 1), lin), now: time.Unix(1_000, 0),
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
					for range 4 * benchTeams { // until all teams are told
						for _, rpt := range pair {
							rpt.report(b, changed, bounded)
						}
					}
					up, down, told, num := sent.Load(), received.Load(), 0, 0
					for b.Loop() {
						rpt := pair[num%len(pair)]
						if complete {
							rpt.reporter.Lost()
						}
						told += len(rpt.report(b, changed, bounded).Allotments())
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
