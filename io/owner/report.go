package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/report"
	"jacinthpost/io/message"
)

const (
	// gatherConcurrency is the number of owners that one report asks at a time.
	gatherConcurrency = 8
	// gatherTimeout bounds a report. Partitions without a reply by then are reported as missing.
	gatherTimeout = 5 * time.Second
)

// List lists the latest jobs; see job.Partition.Summaries.
func (svc *Service[P]) List(args message.ListArgs, reply *message.ListReply) error {
	moved := func(owner string) message.ListReply { return message.ListReply{NotOwner: true, OwnerAddress: owner} }
	return handleRead(svc, args.Partition, reply, moved, func(part *job.Partition[P], _ time.Time) (rep message.ListReply, after uint64) {
		for sum := range part.Summaries() {
			if len(rep.Jobs) >= min(args.Limit, message.MaxList) {
				break
			}
			if matches(args, sum) {
				rep.Jobs = append(rep.Jobs, encodeSummary(sum))
				after = max(after, sum.After())
			}
		}
		return rep, after
	})
}

// matches reports whether a job passes the filters of a list call.
func matches(args message.ListArgs, sum job.Summary) bool {
	wanted := [...]struct{ asked, has string }{
		{args.Workspace, string(sum.Workspace())},
		{args.Team, string(sum.Team())},
		{args.Class, string(sum.Class())},
		{args.State, sum.State().String()},
	}
	for _, one := range wanted {
		if one.asked != "" && one.asked != one.has {
			return false
		}
	}
	return true
}

// Summarize reports on the jobs of a partition; see core/report.
func (svc *Service[P]) Summarize(args message.SummarizeArgs, reply *message.SummarizeReply) error {
	moved := func(owner string) message.SummarizeReply {
		return message.SummarizeReply{NotOwner: true, OwnerAddress: owner}
	}
	return handleRead(svc, args.Partition, reply, moved, func(part *job.Partition[P], now time.Time) (rep message.SummarizeReply, after uint64) {
		rpt := report.Since(time.UnixMilli(args.SinceMillis))
		for sum := range part.Summaries() {
			rpt.AddJob(sum, now)
			after = max(after, sum.After())
		}
		rep.Rows, rep.Concerns = encodeReport(rpt)
		rep.Unnamed = rpt.Unnamed()
		return rep, after
	})
}

// handleRead replies to a read-only call once the record that the reply depends on is
// durable. If this process does not own the partition, or loses it before then, the
// reply is the one that moved returns.
func handleRead[P job.Placement, R any](svc *Service[P], num int, reply *R, moved func(owner string) R, tell func(part *job.Partition[P], now time.Time) (R, uint64)) error {
	return handle(svc, num, reply, func(req *request[P], done func(R)) {
		if req.slot == nil {
			done(moved(req.owner))
			return
		}
		rep, after := tell(req.part(), req.now)
		tag := req.wait(func(eff job.Effect) {
			if _, held := eff.(readReply); !held {
				rep = moved("")
			}
			done(rep)
		})
		req.slot.tenure.replyToRead(tag, after)
	})
}

// List returns the latest jobs of all partitions, the latest one first.
func (cli *Client) List(ctx context.Context, args message.ListArgs) message.JobList {
	reps, missing := gather(ctx, cli, "Owner.List", func(num int) any {
		args := args
		args.Partition = num
		return args
	}, func(rep *message.ListReply) (bool, string) { return rep.NotOwner, rep.OwnerAddress })
	jobs := []message.JobSummary{}
	for _, rep := range reps {
		jobs = append(jobs, rep.Jobs...)
	}
	slices.SortFunc(jobs, func(one, two message.JobSummary) int {
		return cmp.Or(cmp.Compare(two.SubmittedAt, one.SubmittedAt), cmp.Compare(one.JobID, two.JobID))
	})
	return message.JobList{Jobs: jobs[:min(len(jobs), args.Limit)], MissingPartitions: missing}
}

// Report returns the report of all partitions since a time.
func (cli *Client) Report(ctx context.Context, since time.Time) message.Report {
	reps, missing := gather(ctx, cli, "Owner.Summarize", func(num int) any {
		return message.SummarizeArgs{Partition: num, SinceMillis: since.UnixMilli()}
	}, func(rep *message.SummarizeReply) (bool, string) { return rep.NotOwner, rep.OwnerAddress })
	rpt := report.Since(since)
	for _, rep := range reps {
		rpt.Merge(decodeReport(rep))
	}
	enc := message.Report{SinceMillis: since.UnixMilli(), Unnamed: rpt.Unnamed(), MissingPartitions: missing}
	enc.Rows, enc.Concerns = encodeReport(rpt)
	return enc
}

// gather calls the owners of all partitions, gatherConcurrency at a time. It returns
// their replies and the partitions that gave none.
func gather[R any](ctx context.Context, cli *Client, method string, args func(num int) any, moved func(*R) (bool, string)) (replies []R, missing []int) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	all, errs := make([]R, cli.Partitions()), make([]error, cli.Partitions())
	var grp errgroup.Group
	grp.SetLimit(gatherConcurrency)
	for num := range all {
		grp.Go(func() error {
			all[num], _, errs[num] = route(ctx, cli, num, method, args(num), moved)
			return nil
		})
	}
	_ = grp.Wait() // no call returns an error
	for num, err := range errs {
		if err != nil {
			missing = append(missing, num)
			continue
		}
		replies = append(replies, all[num])
	}
	return replies, missing
}

func encodeSummary(sum job.Summary) message.JobSummary {
	enc := message.JobSummary{
		JobID: string(sum.ID()), Workspace: string(sum.Workspace()), Team: string(sum.Team()), Class: string(sum.Class()),
		Kind: sum.Kind().String(), Urgent: sum.Urgent(), State: sum.State().String(),
		Ended:  sum.Tasks(job.Finished) + sum.Tasks(job.Cancelled),
		Parked: sum.Tasks(job.Parked), Evictions: sum.Evictions(), Detail: sum.Detail(),
		SubmittedAt: unixMillis(sum.Submitted()), EndedAt: unixMillis(sum.Ended()), DeadlineAt: unixMillis(sum.Deadline()),
	}
	for sta := job.Queued; sta <= job.Parked; sta++ {
		enc.Tasks += sum.Tasks(sta)
	}
	return enc
}

// unixMillis returns the time in Unix milliseconds, 0 for the zero time.
func unixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func encodeReport(rpt *report.Report) ([]message.ReportRow, []message.Concern) {
	rows, concerns := []message.ReportRow{}, []message.Concern{}
	for _, key := range rpt.Keys() {
		row := rpt.Row(key)
		rows = append(rows, message.ReportRow{
			Team: string(key.Team()), Class: string(key.Class()),
			Finished: row.Count(report.Finished), Cancelled: row.Count(report.Cancelled), Parked: row.Count(report.Parked),
			Running: row.Count(report.Running), Waiting: row.Count(report.Waiting),
			Late: row.Count(report.Late), Evictions: row.Count(report.Evictions),
		})
	}
	for _, itm := range rpt.Items() {
		concerns = append(concerns, message.Concern{
			Why: itm.Concern().String(), JobID: string(itm.ID()), Workspace: string(itm.Workspace()),
			Team: string(itm.Key().Team()), Class: string(itm.Key().Class()),
			SubmittedAt: itm.Submitted().UnixMilli(), BehindMillis: itm.Tardiness().Milliseconds(), Detail: itm.Detail(),
		})
	}
	return rows, concerns
}

// decodeReport leaves out concerns of an unknown kind, which a later version may send.
func decodeReport(rep message.SummarizeReply) *report.Report {
	rpt := &report.Report{}
	for _, row := range rep.Rows {
		rpt.AddRow(report.NewKey(fleet.Team(row.Team), fleet.JobClass(row.Class)), decodeCounts(row))
	}
	rpt.AddUnnamed(rep.Unnamed)
	for _, con := range rep.Concerns {
		knd, known := report.ParseConcern(con.Why)
		if !known {
			rpt.AddUnnamed(1)
			continue
		}
		key := report.NewKey(fleet.Team(con.Team), fleet.JobClass(con.Class))
		rpt.AddItem(report.NewItem(knd, job.ID(con.JobID), key, fleet.Workspace(con.Workspace)).
			WithTimes(time.UnixMilli(con.SubmittedAt), time.Duration(con.BehindMillis)*time.Millisecond).WithDetail(con.Detail))
	}
	return rpt
}

func decodeCounts(row message.ReportRow) report.Row {
	return report.Row{}.
		With(report.Finished, row.Finished).With(report.Cancelled, row.Cancelled).With(report.Parked, row.Parked).
		With(report.Running, row.Running).With(report.Waiting, row.Waiting).
		With(report.Late, row.Late).With(report.Evictions, row.Evictions)
}
