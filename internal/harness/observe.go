package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/job"
	"jacinthpost/io/joblog"
	"jacinthpost/io/table/tableapi"
	"jacinthpost/io/worker/workerapi"
)

// partitions is the number of job partitions in the settings of both deployments.
const partitions = 16

// killedState is the state of runs that ended with the process of their worker.
const killedState = "killed"

// Instance returns the instance with an ID, or nil.
func (fle *Fleet) Instance(id string) *Instance {
	for _, ins := range fle.instances {
		if ins.id == id {
			return ins
		}
	}
	return nil
}

// Owner returns the instance whose agent owns the partition of a job according to the table,
// or nil if the partition has no owner.
func (fle *Fleet) Owner(ctx context.Context, jobID string) (*Instance, error) {
	list, err := fle.owners(ctx, job.PartitionOf(job.ID(jobID), partitions))
	if err != nil {
		return nil, err
	}
	return list[0], nil
}

// Owners returns, for each partition, the instance whose agent owns it according to the
// table, or nil if the partition has no owner.
func (fle *Fleet) Owners(ctx context.Context) ([]*Instance, error) {
	all := make([]int, partitions)
	for num := range all {
		all[num] = num
	}
	return fle.owners(ctx, all...)
}

func (fle *Fleet) owners(ctx context.Context, nums ...int) ([]*Instance, error) {
	var rep tableapi.RowsReply
	var req tableapi.ReadRequest
	for _, num := range nums {
		req.Keys = append(req.Keys, joblog.RowKey(num))
	}
	if _, err := Call(ctx, "POST", fle.store+tableapi.ReadPath, nil, req, &rep); err != nil {
		return nil, err
	}
	if len(rep.Rows) != len(nums) {
		return make([]*Instance, len(nums)), nil
	}
	list := make([]*Instance, 0, len(nums))
	for _, row := range rep.Rows {
		own, err := fle.ownerOf(row)
		if err != nil {
			return nil, err
		}
		list = append(list, own)
	}
	return list, nil
}

func (fle *Fleet) ownerOf(rec tableapi.Row) (*Instance, error) {
	if rec.Version == 0 {
		return nil, nil
	}
	var row struct {
		Owner    string `json:"owner"`
		Released bool   `json:"released"`
	}
	if err := json.Unmarshal(rec.Value, &row); err != nil {
		return nil, errors.Wrap(err, "decode partition row")
	}
	if row.Released {
		return nil, nil
	}
	return fle.Instance(row.Owner), nil
}

// Worker returns the state of the worker of the instance.
func (ins *Instance) Worker(ctx context.Context) (workerapi.StateReply, error) {
	var sta workerapi.StateReply
	if _, err := Call(ctx, "GET", ins.address+workerapi.StatePath, nil, nil, &sta); err != nil {
		return sta, errors.Wrap(err, "state of "+ins.id)
	}
	return sta, nil
}

// WorkerFaults are the faults that can be injected into workers.
type WorkerFaults struct {
	IgnoreThrottle bool `json:"ignoreThrottle"`
}

// SetWorkerFaults replaces the faults of all workers.
func (fle *Fleet) SetWorkerFaults(ctx context.Context, flt WorkerFaults) error {
	for _, ins := range fle.instances {
		status, err := Call(ctx, "POST", ins.address+"/faults", nil, flt, nil)
		if err != nil || status != http.StatusOK {
			return errors.Errorf("faults of %s: status %d, %v", ins.id, status, err)
		}
	}
	return nil
}

// SetServiceTime replaces the service time, without interference, of the requests that begin
// from now on at any instance.
func (fle *Fleet) SetServiceTime(ctx context.Context, dur time.Duration) error {
	body := map[string]int64{"micros": dur.Microseconds()}
	for _, ins := range fle.instances {
		status, err := Call(ctx, "PUT", ins.address+"/service-time", nil, body, nil)
		if err != nil || status != http.StatusOK {
			return errors.Errorf("service time of %s: status %d, %v", ins.id, status, err)
		}
	}
	return nil
}

// KillEndpoint kills the endpoint and worker of an instance. Its runs remain in the history;
// those in progress are recorded as stopped by the kill. Runs that start between the reading
// of the worker's history and the kill are missing.
func (fle *Fleet) KillEndpoint(ctx context.Context, ins *Instance) error {
	var runs []Run
	if _, err := Call(ctx, "GET", ins.address+"/worker/v1/history", nil, nil, &runs); err != nil {
		return errors.Wrap(err, "history of "+ins.id)
	}
	ins.endpoint.Kill()
	for pos := range runs {
		if runs[pos].Stopped == 0 {
			runs[pos].Stopped, runs[pos].State = time.Now().UnixMilli(), killedState
		}
	}
	ins.former = append(ins.former, runs...)
	return nil
}

// FinalPeak returns the peak that an endpoint printed when it exited.
func (ins *Instance) FinalPeak() (Peak, error) {
	var pek Peak
	raw, err := os.ReadFile(ins.endpoint.logFile)
	if err != nil {
		return pek, errors.Wrap(err, "read log of endpoint")
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	if err := json.Unmarshal(lines[len(lines)-1], &pek); err != nil {
		return pek, errors.Wrap(err, "decode peak")
	}
	return pek, nil
}

// Explain returns an entry's explanation of a job, an instance or a ticket.
func (fle *Fleet) Explain(ctx context.Context, ent int, kind, name string) ([]string, error) {
	var body struct {
		Lines []string `json:"lines"`
	}
	_, err := Call(ctx, "GET", fle.entries[ent].address+"/v1/explain/"+kind+"/"+name, nil, nil, &body)
	return body.Lines, err
}

// InForce returns the processes at which a ticket is in force according to an entry.
func (fle *Fleet) InForce(ctx context.Context, ent int, num uint64) ([]string, error) {
	lines, err := fle.Explain(ctx, ent, "ticket", strconv.FormatUint(num, 10))
	if err != nil {
		return nil, err
	}
	var list []string
	for _, lin := range lines {
		if name, _, found := strings.Cut(lin, ": in force"); found {
			list = append(list, name)
		}
	}
	return list, nil
}

// Ready reports whether the agent of the instance passes its readiness probe.
func (ins *Instance) Ready(ctx context.Context) bool { return Ready(ctx, ins.metrics) }
