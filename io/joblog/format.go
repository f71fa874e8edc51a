package joblog

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
)

// batchRow is the format of a log row. The batch ID shows a writer whether a row is its own when the
// reply to a write was lost.
type batchRow struct {
	BatchID string       `json:"batchID"`
	Epoch   uint64       `json:"epoch"`
	Records []recordJSON `json:"records"`
}

// snapshotRow is the format of the row that points to a snapshot.
type snapshotRow struct {
	Object string `json:"object"`
	Next   uint64 `json:"next"` // first batch that the snapshot does not cover
}

// snapshotObject is the format of a snapshot.
type snapshotObject struct {
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Kind        string    `json:"kind"`
	AtMillis    int64     `json:"atUnixMillis"`
	Job         string    `json:"job"`
	Index       int       `json:"index,omitempty"`
	Epoch       uint64    `json:"epoch,omitempty"`
	Sequence    uint64    `json:"sequence,omitempty"`
	Instance    string    `json:"instance,omitempty"`
	Incarnation uint64    `json:"incarnation,omitempty"`
	Digest      string    `json:"digest,omitempty"`
	Spec        *specJSON `json:"spec,omitempty"`
	End         *endJSON  `json:"end,omitempty"`
	State       string    `json:"state,omitempty"`
	Open        bool      `json:"open,omitempty"`
	Attempts    int       `json:"attempts,omitempty"`
	Evictions   int       `json:"evictions,omitempty"`
	Failures    int       `json:"failures,omitempty"`
}

type specJSON struct {
	Key          string `json:"key"`
	Workspace    string `json:"workspace"`
	FormerName   string `json:"customer,omitempty"` // the workspace in records of earlier versions
	Team         string `json:"team,omitempty"`
	Class        string `json:"class,omitempty"`
	Service      string `json:"service,omitempty"`
	Kind         string `json:"kind"`
	Urgent       bool   `json:"urgent,omitempty"`
	Tasks        int    `json:"tasks"`
	MilliCPU     int64  `json:"milliCPU"`
	MemoryMB     int64  `json:"memoryMB"`
	Accelerators int64  `json:"accelerators,omitempty"`
	Payload      []byte `json:"payload,omitempty"`
	Deadline     int64  `json:"deadlineUnixMillis,omitempty"`
	LeaseMillis  int64  `json:"leaseMillis"`
	Rerun        string `json:"rerun,omitempty"` // missing in records of earlier versions
	Restarts     bool   `json:"restarts,omitempty"`
}

type endJSON struct {
	Kind       string `json:"kind"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Result     []byte `json:"result,omitempty"`
	Detail     string `json:"detail,omitempty"`
	Evicted    bool   `json:"evicted,omitempty"`
}

func encodeRecords(recs []job.Record) []recordJSON {
	list := make([]recordJSON, 0, len(recs))
	for _, rec := range recs {
		list = append(list, encodeRecord(rec))
	}
	return list
}

func encodeRecord(rec job.Record) recordJSON {
	ref, cnt := rec.Ref(), rec.Counters()
	enc := recordJSON{
		Kind: rec.Kind().String(), AtMillis: rec.At(), Job: string(ref.Job()), Index: ref.Index(),
		Epoch: ref.Token().Epoch(), Sequence: ref.Token().Sequence(),
		Instance: string(rec.Holder().Instance()), Incarnation: uint64(rec.Holder().Incarnation()),
	}
	switch rec.Kind() {
	case job.JobSubmitted:
		enc.Digest, enc.Spec = rec.Digest(), encodeSpec(rec.Spec())
	case job.TaskEnded, job.TaskCheckpointed, job.TaskParked:
		enc.End = encodeEnd(rec.End())
	case job.TaskRestored:
		enc.End, enc.State, enc.Open = encodeEnd(rec.End()), rec.State().String(), rec.Open()
		enc.Attempts, enc.Evictions, enc.Failures = cnt.Attempts(), cnt.Evictions(), cnt.Failures()
	default:
	}
	return enc
}

func encodeSpec(spc job.Spec) *specJSON {
	vec := spc.Resources()
	return &specJSON{
		Key: spc.Key(), Workspace: string(spc.Workspace()), Team: string(spc.Team()), Class: string(spc.Class()),
		Service: string(spc.Service()), Kind: spc.Kind().String(), Urgent: spc.Urgent(), Tasks: spc.Tasks(),
		MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators(),
		Payload: spc.Payload(), Deadline: spc.Deadline(), LeaseMillis: spc.Lease().Milliseconds(),
		Rerun: spc.Rerun().String(), Restarts: !spc.Checkpointable(),
	}
}

func encodeEnd(end job.End) *endJSON {
	return &endJSON{Kind: end.Kind().String(), Checkpoint: end.Checkpoint(), Result: end.Result(),
		Detail: end.Detail(), Evicted: end.Evicted()}
}

func decodeRecords(list []recordJSON) ([]job.Record, error) {
	recs := make([]job.Record, 0, len(list))
	for _, enc := range list {
		rec, err := decodeRecord(enc)
		if err != nil {
			return nil, errors.Wrapf(err, "decode record of job %s", enc.Job)
		}
		recs = append(recs, rec)
	}
	return recs, nil
}

func decodeRecord(enc recordJSON) (job.Record, error) {
	knd, known := job.ParseRecordKind(enc.Kind)
	if !known {
		return job.Record{}, errors.Errorf("unknown record kind %q", enc.Kind)
	}
	rec := job.NewRecord(knd, job.NewRef(job.ID(enc.Job), enc.Index, token.New(enc.Epoch, enc.Sequence)), enc.AtMillis).
		WithHolder(fleet.NewProcess(fleet.InstanceID(enc.Instance), fleet.Incarnation(enc.Incarnation)))
	if enc.Spec != nil {
		spc, err := decodeSpec(enc.Spec)
		if err != nil {
			return job.Record{}, err
		}
		rec = rec.WithSpec(spc, enc.Digest)
	}
	if enc.End != nil {
		end, known := job.ParseEnd(enc.End.Kind)
		if !known {
			return job.Record{}, errors.Errorf("unknown task end %q", enc.End.Kind)
		}
		rec = rec.WithEnd(job.NewEnd(end, enc.End.Checkpoint).WithResult(enc.End.Result, enc.End.Detail).WithEviction(enc.End.Evicted))
	}
	if knd == job.TaskRestored {
		sta, known := job.ParseState(enc.State)
		if !known {
			return job.Record{}, errors.Errorf("unknown task state %q", enc.State)
		}
		rec = rec.WithTask(sta, enc.Open, job.NewCounters(enc.Attempts, enc.Evictions, enc.Failures))
	}
	return rec, nil
}

func decodeSpec(enc *specJSON) (job.Spec, error) {
	knd, known := job.ParseKind(enc.Kind)
	if !known {
		return job.Spec{}, errors.Errorf("unknown job kind %q", enc.Kind)
	}
	rer, known := job.ParseRerun(enc.Rerun)
	if !known {
		return job.Spec{}, errors.Errorf("unknown rerun setting %q", enc.Rerun)
	}
	return job.NewSpec(knd, enc.Tasks, resource.New(enc.MilliCPU, enc.MemoryMB, enc.Accelerators)).
		WithKey(fleet.Workspace(cmp.Or(enc.Workspace, enc.FormerName)), enc.Key).
		WithTeam(fleet.Team(enc.Team)).
		WithClass(fleet.JobClass(enc.Class), time.Duration(enc.LeaseMillis)*time.Millisecond).
		WithRerun(rer).
		WithCheckpoints(!enc.Restarts).
		WithService(fleet.Service(enc.Service)).
		WithUrgency(enc.Urgent).
		WithPayload(enc.Payload).
		WithDeadline(enc.Deadline), nil
}

func decodeBatch(value []byte) (batchRow, error) {
	var bat batchRow
	if err := json.Unmarshal(value, &bat); err != nil {
		return batchRow{}, errors.Wrap(err, "decode log row")
	}
	return bat, nil
}
