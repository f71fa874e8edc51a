package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/job"
	"jacinthpost/io/joblog"
	"jacinthpost/io/table/tableapi"
)

// partitions is the number in the settings of both deployments.
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

// Owner returns the instance whose agent owns the partition of a job, as the
// table has it. It is nil while nobody owns the partition.
func (fle *Fleet) Owner(ctx context.Context, jobID string) (*Instance, error) {
	var rep tableapi.RowsReply
	req := tableapi.ReadRequest{Keys: []string{joblog.RowKey(job.PartitionOf(job.ID(jobID), partitions))}}
	if _, err := Call(ctx, "POST", fle.store+tableapi.ReadPath, nil, req, &rep); err != nil {
		return nil, err
	}
	if len(rep.Rows) != 1 || rep.Rows[0].Version == 0 {
		return nil, nil
	}
	var row struct {
		Owner    string `json:"owner"`
		Released bool   `json:"released"`
	}
	if err := json.Unmarshal(rep.Rows[0].Value, &row); err != nil {
		return nil, errors.Wrap(err, "decode partition row")
	}
	if row.Released {
		return nil, nil
	}
	return fle.Instance(row.Owner), nil
}

// KillEndpoint kills the endpoint and worker of an instance. Its runs stay in
// the history; those in progress end with the kill. Starts between the last look
// and the kill are not seen.
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

// FinalPeak returns the highest commitment that an endpoint has printed at its end.
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

// Explain returns what an entry explains about a job, an instance or a ticket.
func (fle *Fleet) Explain(ctx context.Context, ent int, kind, name string) ([]string, error) {
	var body struct {
		Lines []string `json:"lines"`
	}
	_, err := Call(ctx, "GET", fle.entries[ent].address+"/v1/explain/"+kind+"/"+name, nil, nil, &body)
	return body.Lines, err
}

// InForce returns the instances at which a ticket is in force, as an entry explains it.
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

// Ready reports whether the agent of the instance calls itself ready.
func (ins *Instance) Ready(ctx context.Context) bool { return Ready(ctx, ins.metrics) }
