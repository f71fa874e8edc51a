// Package batchstore lays out the jobs of a partition in the table service and
// encodes their rows as JSON.
//
// Every row of a partition has keys of the form table/partition/name, so that one
// transaction may cover them. The table jobs is written by entries (what callers
// handed in or cancelled), the tables states and owners by the owner of the
// partition, whose every transaction is conditional on the owner row.
package batchstore

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

// Partition names a set of jobs with one owner.
type Partition string

const cancelSuffix = "/cancel"

// JobsPrefix is the prefix of the jobs and cancellations.
func (par Partition) JobsPrefix() string { return "jobs/" + string(par) + "/" }

// JobKey is the key of an accepted job.
func (par Partition) JobKey(id string) string { return par.JobsPrefix() + id }

// CancelKey is the key of a cancellation, which is listed after its job.
func (par Partition) CancelKey(id string) string { return par.JobKey(id) + cancelSuffix }

// StatesPrefix is the prefix of the states of jobs.
func (par Partition) StatesPrefix() string { return "states/" + string(par) + "/" }

// StateKey is the key of the state of a job.
func (par Partition) StateKey(id string) string { return par.StatesPrefix() + id }

// OwnerKey is the key of the owner of the partition.
func (par Partition) OwnerKey() string { return "owners/" + string(par) + "/owner" }

// LoadKey is the key of the published load of the partition. Entries follow its table,
// which changes far less often than the owner row.
func (par Partition) LoadKey() string { return "loads/" + string(par) + "/load" }

// JobName returns the job of a key in the table jobs and whether the row is a cancellation.
func (par Partition) JobName(key string) (id string, cancel bool) {
	id = strings.TrimPrefix(key, par.JobsPrefix())
	return strings.CutSuffix(id, cancelSuffix)
}

// StateName returns the job of a key in the table states.
func (par Partition) StateName(key string) string { return strings.TrimPrefix(key, par.StatesPrefix()) }

// Owner is the row that names the owner of a partition.
type Owner struct {
	Epoch    uint64 `json:"epoch"`
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Sequence uint64 `json:"sequence"` // rises with each write of the holder
	Nonce    string `json:"nonce"`    // of the process
	Released bool   `json:"released,omitempty"`
}

// Load is what the owner publishes for entries.
type Load struct {
	Pending map[string]int   `json:"pending,omitempty"` // by queue, jobs of which no task has started
	Refuse  map[string]int64 `json:"refuse,omitempty"`  // by queue, milliseconds after which a caller should come back
}

// Encode returns the value of a row.
func Encode(val any) []byte {
	data, err := json.Marshal(val)
	if err != nil {
		panic("batchstore: encode " + err.Error())
	}
	return data
}

func decode[T any](data []byte, what string) (T, error) {
	var val T
	if err := json.Unmarshal(data, &val); err != nil {
		return val, errors.Wrap(err, what)
	}
	return val, nil
}

// DecodeOwner decodes the row of an owner.
func DecodeOwner(data []byte) (Owner, error) { return decode[Owner](data, "owner row") }

// DecodeLoad decodes a published load.
func DecodeLoad(data []byte) (Load, error) { return decode[Load](data, "load row") }

// DecodeState decodes the state of a job.
func DecodeState(data []byte) (batch.JobRecord, error) {
	return decode[batch.JobRecord](data, "state row")
}

// DecodeJob decodes an accepted job.
func DecodeJob(data []byte) (workload.Job, error) {
	par, err := decode[workload.JobParams](data, "job row")
	if err != nil {
		return workload.Job{}, err
	}
	job, err := workload.New(par)
	if err != nil {
		return workload.Job{}, errors.Wrap(err, "job row")
	}
	return job, nil
}
