package web

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jacinthpost/core/job"
	"jacinthpost/io/message"
)

// Overview lists and counts the jobs of all partitions.
type Overview interface {
	// List returns the jobs that match the arguments, the latest first.
	List(ctx context.Context, args message.ListArgs) message.JobList
	// Report counts the jobs that have ended since the given time and those that have not ended.
	Report(ctx context.Context, since time.Time) message.Report
}

const (
	// defaultListLimit is the number of jobs in a list if the caller sets no limit.
	defaultListLimit = 100
	// defaultPeriod covers a night. maxPeriod is the time for which ended jobs are kept.
	defaultPeriod = 16 * time.Hour
	maxPeriod     = 7 * 24 * time.Hour
)

func registerOverview(mux *http.ServeMux, ovr Overview) {
	mux.HandleFunc("GET /v1/jobs", func(rw http.ResponseWriter, req *http.Request) {
		args, err := listArgs(req.URL.Query())
		if err != nil {
			refuse(rw, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(rw, http.StatusOK, ovr.List(req.Context(), args))
	})
	mux.HandleFunc("GET /v1/report", func(rw http.ResponseWriter, req *http.Request) {
		period, err := periodOf(req.URL.Query())
		if err != nil {
			refuse(rw, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(rw, http.StatusOK, ovr.Report(req.Context(), time.Now().Add(-period)))
	})
}

// listArgs parses the filters of a job list. It refuses unknown parameters, because a misspelt
// filter that is ignored would list jobs that the caller did not ask for.
func listArgs(query url.Values) (message.ListArgs, error) {
	args := message.ListArgs{Limit: defaultListLimit}
	texts := map[string]*string{"workspace": &args.Workspace, "team": &args.Team, "class": &args.Class, "state": &args.State}
	for name, vals := range query {
		text, known := texts[name]
		switch {
		case len(vals) > 1:
			return args, fmt.Errorf("%s is given more than once", name)
		case known && !validName(vals[0]):
			return args, fmt.Errorf("%s: 1 to %d printable characters expected", name, NameLimit)
		case known:
			*text = vals[0]
		case name == "limit":
			num, err := strconv.Atoi(vals[0])
			if err != nil || num < 1 || num > message.MaxList {
				return args, fmt.Errorf("limit is %q, expected 1 to %d", vals[0], message.MaxList)
			}
			args.Limit = num
		default:
			return args, fmt.Errorf("%s is not known, expected workspace, team, class, state or limit", name)
		}
	}
	if _, known := job.ParseState(args.State); args.State != "" && !known {
		return args, fmt.Errorf("state is %q, expected a state of a job such as queued, running, finished, cancelled or parked", args.State)
	}
	return args, nil
}

// periodOf parses how far back a report goes.
func periodOf(query url.Values) (time.Duration, error) {
	for name, vals := range query {
		if name != "period" || len(vals) > 1 {
			return 0, fmt.Errorf("%s is not known or given more than once, expected period", name)
		}
	}
	txt := query.Get("period")
	if !query.Has("period") {
		return defaultPeriod, nil
	}
	dur, err := time.ParseDuration(txt)
	if err != nil || dur <= 0 || dur > maxPeriod {
		return 0, fmt.Errorf("period is %q, expected a duration such as 12h, at most %s", txt, maxPeriod)
	}
	return dur, nil
}
