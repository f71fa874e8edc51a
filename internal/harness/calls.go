package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/io/message"
	"jacinthpost/io/table/tableapi"
)

const callLimit = 30 * time.Second

var client = http.Client{Timeout: callLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Call sends an HTTP request and decodes the JSON body of the response, whatever its status.
// It returns status 0 if it did not receive a complete response.
func Call(ctx context.Context, method, target string, headers map[string]string, body, reply any) (int, error) {
	raw, isBytes := body.([]byte)
	if body != nil && !isBytes {
		var err error
		raw, err = json.Marshal(body)
		if err != nil {
			return 0, errors.Wrap(err, "encode call")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(raw))
	if err != nil {
		return 0, errors.Wrap(err, "build call")
	}
	for name, val := range headers {
		req.Header.Set(name, val)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if reply == nil {
		return res.StatusCode, nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return res.StatusCode, errors.Wrapf(err, "decode answer %q", data)
	}
	return res.StatusCode, nil
}

// Envelope is the answer of an entry to a service request.
type Envelope struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail"`
	RequestID string `json:"requestID"`
	Instance  string `json:"instance"`
	Attempts  int    `json:"attempts"`
	Replayed  bool   `json:"replayed"`
	Body      struct {
		Body          string `json:"body"`
		RequestID     string `json:"requestID"`
		Instance      string `json:"instance"`
		ServiceMicros int64  `json:"serviceMicros"`
	} `json:"body"`
}

// Request sends a service request to an entry. The key may be empty.
func (fle *Fleet) Request(ctx context.Context, ent int, body, key string, idempotent bool, timeout time.Duration) (Envelope, error) {
	headers := map[string]string{
		"Jacinthpost-Workspace":      "demo",
		"Jacinthpost-Idempotent":     strconv.FormatBool(idempotent),
		"Jacinthpost-Timeout-Millis": strconv.FormatInt(timeout.Milliseconds(), 10),
	}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	var env Envelope
	_, err := Call(ctx, "POST", fle.entries[ent].address+"/v1/services/"+fle.deployment.Service.Name+"/requests", headers, []byte(body), &env)
	return env, err
}

// Member is a member in the list of an entry.
type Member struct {
	Instance   string `json:"instance"`
	Role       string `json:"role"`
	State      string `json:"state"`
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	MilliCPU   int64  `json:"milliCPU"`
}

// Members returns the members known to an entry.
func (fle *Fleet) Members(ctx context.Context, ent int) ([]Member, error) {
	var list struct {
		Members []Member `json:"members"`
	}
	_, err := Call(ctx, "GET", fle.entries[ent].address+"/v1/members", nil, nil, &list)
	return list.Members, err
}

// Ready reports whether the process with the metrics address passes its readiness probe.
func Ready(ctx context.Context, metrics string) bool {
	status, err := Call(ctx, "GET", metrics+"/readyz", nil, nil, nil)
	return err == nil && status == http.StatusOK
}

// Complete reports whether an entry is ready, lists every instance as alive with its
// endpoint, and has a confirmed configuration.
func (fle *Fleet) Complete(ctx context.Context, ent int) bool {
	list, err := fle.Members(ctx, ent)
	if err != nil || !Ready(ctx, fle.entries[ent].metrics) {
		return false
	}
	serving := 0
	for _, mem := range list {
		if mem.State == "alive" && mem.Service != "" && mem.MilliCPU > 0 {
			serving++
		}
	}
	var sta State
	_, err = Call(ctx, "GET", fle.entries[ent].address+"/v1/state", nil, nil, &sta)
	return err == nil && sta.Confirmed && serving == len(fle.instances)
}

// State is the configuration in force at an entry.
type State struct {
	Head      uint64 `json:"head"`
	Confirmed bool   `json:"confirmed"`
	Objects   []struct {
		Kind    string          `json:"kind"`
		Name    string          `json:"name"`
		Version uint64          `json:"version"`
		State   json.RawMessage `json:"state"`
	} `json:"objects"`
}

// State returns the configuration at an entry.
func (fle *Fleet) State(ctx context.Context, ent int) (State, error) {
	var sta State
	_, err := Call(ctx, "GET", fle.entries[ent].address+"/v1/state", nil, nil, &sta)
	return sta, err
}

// Change is one change of a ticket.
type Change struct {
	Kind        string `json:"kind"`
	Name        string `json:"name"`
	BaseVersion uint64 `json:"baseVersion"`
	State       any    `json:"state"`
}

// Filed is the answer of an entry to a filed ticket.
type Filed struct {
	Outcome string `json:"outcome"`
	Next    uint64 `json:"next"`
	Detail  string `json:"detail"`
}

// File files a ticket with one change through an entry.
func (fle *Fleet) File(ctx context.Context, ent int, num uint64, chg Change) (Filed, error) {
	body := struct {
		Author  string   `json:"author"`
		Reason  string   `json:"reason"`
		Changes []Change `json:"changes"`
	}{Author: "operator", Reason: "harness", Changes: []Change{chg}}
	var fld Filed
	_, err := Call(ctx, "PUT", fle.entries[ent].address+"/v1/tickets/"+strconv.FormatUint(num, 10), nil, body, &fld)
	return fld, err
}

// JobAnswer is the answer of an entry about a job.
type JobAnswer struct {
	Outcome string            `json:"outcome"`
	Reason  string            `json:"reason"`
	Detail  string            `json:"detail"`
	Job     message.JobStatus `json:"job"`
}

// Submit submits a job through an entry.
func (fle *Fleet) Submit(ctx context.Context, ent int, spec message.JobSpec) (JobAnswer, error) {
	var ans JobAnswer
	_, err := Call(ctx, "POST", fle.entries[ent].address+"/v1/jobs", nil, spec, &ans)
	return ans, err
}

// Job returns the state of a job.
func (fle *Fleet) Job(ctx context.Context, ent int, id string) (JobAnswer, error) {
	var ans JobAnswer
	_, err := Call(ctx, "GET", fle.entries[ent].address+"/v1/jobs/"+id, nil, nil, &ans)
	return ans, err
}

// Cancel cancels a job.
func (fle *Fleet) Cancel(ctx context.Context, ent int, id string) (JobAnswer, error) {
	var ans JobAnswer
	_, err := Call(ctx, "DELETE", fle.entries[ent].address+"/v1/jobs/"+id, nil, nil, &ans)
	return ans, err
}

// Retry returns the parked tasks of a job to the queue.
func (fle *Fleet) Retry(ctx context.Context, ent int, id string) (JobAnswer, error) {
	var ans JobAnswer
	_, err := Call(ctx, "POST", fle.entries[ent].address+"/v1/jobs/"+id+"/retry", nil, nil, &ans)
	return ans, err
}

// Run is one execution of a task on a worker. Stopped is zero while it is in progress.
type Run struct {
	Job      string        `json:"job"`
	Index    int           `json:"index"`
	Token    message.Token `json:"token"`
	Instance string        `json:"instance"`
	Started  int64         `json:"startedUnixMillis"`
	Stopped  int64         `json:"stoppedUnixMillis"`
	State    string        `json:"state"`
}

// History returns all runs of the workers that are up, and those saved by KillEndpoint.
func (fle *Fleet) History(ctx context.Context) ([]Run, error) {
	var all []Run
	for _, ins := range fle.instances {
		all = append(all, ins.former...)
		if !ins.endpoint.Running() {
			continue
		}
		var part []Run
		if _, err := Call(ctx, "GET", ins.address+"/worker/v1/history", nil, nil, &part); err != nil {
			return nil, errors.Wrap(err, "history of "+ins.id)
		}
		all = append(all, part...)
	}
	return all, nil
}

// Executions returns how often requests with the body were executed, summed over the running
// endpoints.
func (fle *Fleet) Executions(ctx context.Context, body string) (int, error) {
	total := 0
	for _, ins := range fle.instances {
		if !ins.endpoint.Running() {
			continue
		}
		var exe struct {
			Executions int `json:"executions"`
		}
		if _, err := Call(ctx, "GET", ins.address+"/executions?body="+url.QueryEscape(body), nil, nil, &exe); err != nil {
			return 0, errors.Wrap(err, "executions at "+ins.id)
		}
		total += exe.Executions
	}
	return total, nil
}

// Peak is the highest commitment of an instance since its endpoint started, with the times
// of the last request and of the start of leaving.
type Peak struct {
	MilliCPU               int64 `json:"milliCPU"`
	MemoryMB               int64 `json:"memoryMB"`
	Accelerators           int64 `json:"accelerators"`
	ConcurrentRequests     int   `json:"concurrentRequests"`
	LastRequestUnixMillis  int64 `json:"lastRequestUnixMillis"`
	LeavingSinceUnixMillis int64 `json:"leavingSinceUnixMillis"`
}

// Peak returns the peak that the endpoint of an instance recorded.
func (fle *Fleet) Peak(ctx context.Context, ins *Instance) (Peak, error) {
	var pek Peak
	_, err := Call(ctx, "GET", ins.address+"/peak", nil, nil, &pek)
	return pek, err
}

// SetStoreFaults replaces the faults of the platform.
func (fle *Fleet) SetStoreFaults(ctx context.Context, flt tableapi.Faults) error {
	_, err := Call(ctx, "POST", fle.store+tableapi.FaultsPath, nil, flt, nil)
	return err
}

// StoreCounters returns the counters of the platform.
func (fle *Fleet) StoreCounters(ctx context.Context) (tableapi.Counters, error) {
	var cnt tableapi.Counters
	_, err := Call(ctx, "GET", fle.store+tableapi.CountersPath, nil, nil, &cnt)
	return cnt, err
}

// Direct sends a request to the endpoint of an instance, bypassing entries and agents.
func (fle *Fleet) Direct(ctx context.Context, ins *Instance, num int) error {
	headers := map[string]string{"Jacinthpost-Request-ID": "direct/1/" + strconv.Itoa(num)}
	status, err := Call(ctx, "POST", ins.address+"/serve", headers, []byte("direct"), nil)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("endpoint answered with status %d instead of 200", status)
	}
	return err
}
