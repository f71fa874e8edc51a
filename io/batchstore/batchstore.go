// Package batchstore defines the keys of the rows in which a partition's jobs are stored, and encodes
// the rows as JSON.
//
// Keys have the form table/part/name. A transaction covers one part, and a part executes its
// transactions one after another. The owner of the partition writes the tables states and owners in one
// part, in transactions that are conditional on the owner row. Entries write accepted jobs and
// cancellations to the table jobs. It is spread over JobParts parts of its own, so that accepting jobs
// does not wait for the transactions of the owner when the store is slow.
package batchstore

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// Partition is the name of a set of jobs with one owner.
type Partition string

const (
	cancelSuffix = "/cancel"
	// JobParts is the number of parts of the table jobs. A part executes up to 150 transactions per
	// second.
	JobParts = 8
)

func (par Partition) jobsPrefix(num int) string {
	return fmt.Sprintf("jobs/%s-%d/", par, num)
}

// JobsPrefixes returns the prefixes of the keys of jobs and cancellations, one for each part.
func (par Partition) JobsPrefixes() []string {
	out := make([]string, JobParts)
	for num := range out {
		out[num] = par.jobsPrefix(num)
	}
	return out
}

// JobKey returns the key of an accepted job.
func (par Partition) JobKey(id string) string {
	return par.jobsPrefix(int(xxhash.Sum64String(id)%JobParts)) + id
}

// CancelKey returns the key of the cancellation of a job. It sorts after the key of the job.
func (par Partition) CancelKey(id string) string { return par.JobKey(id) + cancelSuffix }

// StatesPrefix returns the prefix of the keys of job states.
func (par Partition) StatesPrefix() string { return "states/" + string(par) + "/" }

// StateKey returns the key of the state of a job.
func (par Partition) StateKey(id string) string { return par.StatesPrefix() + id }

// OwnerKey returns the key of the owner row.
func (par Partition) OwnerKey() string { return "owners/" + string(par) + "/owner" }

// LoadKey returns the key of the published load. It has a table of its own, because entries follow that
// table and the table of the owner row changes far more often.
func (par Partition) LoadKey() string { return "loads/" + string(par) + "/load" }

// LearnedKey returns the key of what an owner has learned, which it passes on to its successor.
func (par Partition) LearnedKey() string { return "learned/" + string(par) + "/learned" }

// PresenceKey returns the key of the presence of the instances, which an owner passes on to its successor.
func (par Partition) PresenceKey() string { return "presences/" + string(par) + "/presence" }

// YieldKey returns the key of the yield. It has a table of its own, which candidates follow.
func (par Partition) YieldKey() string { return "yields/" + string(par) + "/yield" }

// CandidatesPrefix returns the prefix of the keys of the candidates.
func (par Partition) CandidatesPrefix() string { return "candidates/" + string(par) + "/" }

// CandidateKey returns the key of a candidate.
func (par Partition) CandidateKey(holder string) string { return par.CandidatesPrefix() + holder }

// WavesPrefix returns the prefix of the keys of the progress of maintenance waves.
func (par Partition) WavesPrefix() string { return "waves/" + string(par) + "/" }

// WaveKey returns the key of the progress of a maintenance wave.
func (par Partition) WaveKey(num int) string { return par.WavesPrefix() + strconv.Itoa(num) }

// ParseJobKey returns the ID of the job of a key in the table jobs, and whether the row is a
// cancellation.
func (par Partition) ParseJobKey(key string) (id string, cancel bool) {
	els := strings.SplitN(key, "/", 3)
	return strings.CutSuffix(els[len(els)-1], cancelSuffix)
}

// Owner is the row that names the owner of a partition.
type Owner struct {
	Epoch    uint64 `json:"epoch"`
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Sequence uint64 `json:"sequence"` // increases with each write of the holder
	Nonce    string `json:"nonce"`    // identifies the process
	Released bool   `json:"released,omitempty"`
	// Need is the least share of a core that a machine must have to carry the load, zero if any machine
	// does. A process on a smaller machine leaves the ownership to one on a larger machine.
	Need float64 `json:"need,omitempty"`
	// QuietMillis is set in the row of a process that releases the ownership at once: for how long the owner before it had
	// stored nothing.
	QuietMillis int64 `json:"quietMillis,omitempty"`
}

// Candidate is the row of a process that takes over when an owner needs a larger machine.
type Candidate struct {
	Share float64 `json:"share"` // of a core that the machine has
}

// Yield is the row that tells candidates that an owner has released the partition because it needs a
// larger machine.
type Yield struct {
	Epoch uint64 `json:"epoch"`
}

// Load is the load of a partition, which the owner publishes for entries.
type Load struct {
	Pending          map[string]int    `json:"pending,omitempty"` // by queue, the number of jobs of which no task has started
	RetryAfterMillis map[string]int64  `json:"refuse,omitempty"`  // by queue that refuses jobs, the time until callers should retry
	Sizes            map[string][]Size `json:"sizes,omitempty"`   // by service, the capacities of its largest workers
}

// Presence is a batch.Presence. Earlier versions stored SilentSeconds in place of the last two fields.
type Presence struct {
	Epoch          uint64           `json:"epoch,omitempty"` // of the owner that stored it
	Reported       []string         `json:"heard,omitempty"`
	SilentSeconds  map[string]int64 `json:"silentSeconds,omitempty"`
	SilentMillis   map[string]int64 `json:"silentMillis,omitempty"`
	ValidityMillis int64            `json:"validityMillis,omitempty"`
}

// FromPresence converts a batch.Presence of the owner of an epoch.
func FromPresence(epoch uint64, prs batch.Presence) Presence {
	out := Presence{Epoch: epoch, SilentMillis: make(map[string]int64, len(prs.Silent)), ValidityMillis: prs.Validity.Milliseconds()}
	for _, id := range prs.Reported {
		out.Reported = append(out.Reported, string(id))
	}
	for id, dur := range prs.Silent {
		out.SilentMillis[string(id)] = dur.Milliseconds()
	}
	return out
}

// Core converts the row to a batch.Presence.
func (prs Presence) Core() batch.Presence {
	out := batch.Presence{Silent: make(map[fleet.InstanceID]time.Duration), Validity: time.Duration(prs.ValidityMillis) * time.Millisecond}
	for _, id := range prs.Reported {
		out.Reported = append(out.Reported, fleet.InstanceID(id))
	}
	for id, secs := range prs.SilentSeconds {
		out.Silent[fleet.InstanceID(id)] = time.Duration(secs) * time.Second
	}
	for id, millis := range prs.SilentMillis {
		out.Silent[fleet.InstanceID(id)] = time.Duration(millis) * time.Millisecond
	}
	return out
}

// Learned is a batch.Knowledge. Effects are by serving image, then by best-effort image.
type Learned struct {
	Effects     map[string]map[string]LearnedEffect `json:"effects,omitempty"`
	TailsMillis map[string]float64                  `json:"tailsMillis,omitempty"`
	RunSeconds  map[string]float64                  `json:"runSeconds,omitempty"`
}

// LearnedEffect is a mean and its variance.
type LearnedEffect [2]float64

// learnedPrecision is the precision of stored values. Changes below it are not worth a write.
const learnedPrecision = 100

func rounded(val float64) float64 { return math.Round(val*learnedPrecision) / learnedPrecision }

// FromKnowledge converts a batch.Knowledge.
func FromKnowledge(kno batch.Knowledge) Learned {
	out := Learned{Effects: make(map[string]map[string]LearnedEffect), TailsMillis: make(map[string]float64), RunSeconds: make(map[string]float64)}
	for _, eff := range kno.Interference.Effects {
		of := out.Effects[eff.Pair.Serving]
		if of == nil {
			of = make(map[string]LearnedEffect)
			out.Effects[eff.Pair.Serving] = of
		}
		of[eff.Pair.BestEffort] = LearnedEffect{rounded(eff.Mean), max(1.0/learnedPrecision, rounded(eff.Variance))}
	}
	for img, tail := range kno.Interference.UnloadedTails {
		out.TailsMillis[img] = rounded(tail)
	}
	for key, secs := range kno.RunSeconds {
		out.RunSeconds[key] = rounded(secs)
	}
	return out
}

// Core converts the row to a batch.Knowledge.
func (lrn Learned) Core() batch.Knowledge {
	out := batch.Knowledge{Interference: pacing.Knowledge{UnloadedTails: lrn.TailsMillis}, RunSeconds: lrn.RunSeconds}
	for srv, effs := range lrn.Effects {
		for img, eff := range effs {
			out.Interference.Effects = append(out.Interference.Effects, pacing.Effect{Pair: pacing.Pair{Serving: srv, BestEffort: img}, Mean: eff[0], Variance: eff[1]})
		}
	}
	return out
}

// Size is the capacity of a worker.
type Size struct {
	MilliCPU     int64 `json:"milliCpu,omitempty"`
	MemoryMB     int64 `json:"memoryMb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// SetSizes replaces the capacities of the workers of a service.
func (lod *Load) SetSizes(svc fleet.Service, vecs []resource.Vector) {
	if lod.Sizes == nil {
		lod.Sizes = make(map[string][]Size)
	}
	var out []Size
	for _, vec := range vecs {
		out = append(out, Size{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()})
	}
	lod.Sizes[string(svc)] = out
}

// SizesOf returns the capacities of the workers of a service.
func (lod Load) SizesOf(svc string) []resource.Vector {
	out := make([]resource.Vector, len(lod.Sizes[svc]))
	for num, siz := range lod.Sizes[svc] {
		out[num] = resource.New(siz.MilliCPU, siz.MemoryMB, siz.Accelerators)
	}
	return out
}

// Encode returns the encoded value of a row. It panics if the value cannot be encoded as JSON.
func Encode(val any) []byte {
	data, err := json.Marshal(val)
	if err != nil {
		panic("batchstore: encode row: " + err.Error())
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

// DecodeOwner decodes an owner row.
func DecodeOwner(data []byte) (Owner, error) { return decode[Owner](data, "owner row") }

// DecodeCandidate decodes the row of a candidate.
func DecodeCandidate(data []byte) (Candidate, error) { return decode[Candidate](data, "candidate row") }

// DecodeLoad decodes a published load.
func DecodeLoad(data []byte) (Load, error) { return decode[Load](data, "load row") }

// DecodeLearned decodes what an owner has learned.
func DecodeLearned(data []byte) (Learned, error) { return decode[Learned](data, "learned row") }

// DecodePresence decodes the presence of the instances.
func DecodePresence(data []byte) (Presence, error) { return decode[Presence](data, "presence row") }

// DecodeState decodes the state of a job from its first row. If the state has several rows, only its ID, queue and
// state are in the first one.
func DecodeState(data []byte) (batch.JobRecord, error) {
	var rec batch.JobRecord
	err := json.Unmarshal(data, &rec)
	if err == nil {
		err = rec.Check()
	}
	if err != nil {
		return batch.JobRecord{}, errors.Wrap(err, "state row")
	}
	return rec, nil
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
