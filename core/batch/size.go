package batch

// Limits of the size of a stored state. The state of a job is written in one transaction, and the store takes 1 MB a
// call, of which base64 and the names of rows use a third.
const (
	// maxStateBytes bounds the state of a job, and the sum of the states in a WriteBatch of several jobs.
	maxStateBytes = 512 << 10
	// maxDueBytes bounds the state of a timed job to which an occurrence is added. The rest is for checkpoints.
	maxDueBytes = maxStateBytes * 3 / 4
	// maxTaskBytes is the most that a task takes in a record without its checkpoint, with two attempts.
	maxTaskBytes = 80
	// jobBytes is more than what a job takes without its tasks and places.
	jobBytes = 512
	// maxEscapedBytes is the most that one byte of a checkpoint takes in a record.
	maxEscapedBytes = 6
)

// size returns a bound of the size of the job's record, without its places. Their number is limited by that of the
// instances.
func (job *jobState) size() int { return jobBytes + job.tasks()*maxTaskBytes + job.checkpointBytes }

// occurrenceSize returns the size by which a new occurrence increases that of the job.
func (job *jobState) occurrenceSize() int {
	num := 0
	for _, stp := range job.spec.Steps() {
		num += stp.Count()
	}
	return num * maxTaskBytes
}

// setCheckpoint replaces the checkpoint of a task. It keeps the former one and returns false if the state of the job
// would become too large: the task then resumes from an earlier point.
func (job *jobState) setCheckpoint(tsk *task, val string) bool {
	if tsk.checkpoint == val {
		return true
	}
	growth := recordedLength(val) - recordedLength(tsk.checkpoint)
	if growth > 0 && job.size()+growth > maxStateBytes {
		return false
	}
	job.checkpointBytes += growth
	tsk.checkpoint = val
	return true
}

// recordedLength returns a bound of the length of a checkpoint in a record.
func recordedLength(val string) int {
	num := 0
	for _, chr := range []byte(val) {
		switch {
		case chr < ' ' || chr > '~' || chr == '"' || chr == '\\' || chr == '<' || chr == '>' || chr == '&':
			num += maxEscapedBytes
		default:
			num++
		}
	}
	return num
}

// countCheckpoints sets checkpointBytes after occurrences were restored or dropped.
func (job *jobState) countCheckpoints() {
	job.checkpointBytes = 0
	for _, occ := range job.occurrences {
		for _, stp := range occ.steps {
			for _, tsk := range stp.tasks {
				job.checkpointBytes += recordedLength(tsk.checkpoint)
			}
		}
	}
}
