// Package message defines the net/rpc messages between the
// processes of the system. They carry data only: adapters translate them to and
// from the types of the core packages, so that another transport can be added
// without a change to the core packages.
package message

// Resources is the wire form of resource.Vector.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU"`
	MemoryMB     int64 `json:"memoryMB"`
	Accelerators int64 `json:"accelerators"`
}

// Token orders the assignments of a task: first by epoch, then by sequence.
type Token struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// TaskRef names one assignment of a task.
type TaskRef struct {
	Job   string
	Index int
	Token Token
}

// TaskSpec is what an agent needs to run a task.
type TaskSpec struct {
	Ref         TaskRef
	Kind        string // build, plan or watch
	Class       string
	Team        string
	Workspace   string
	Urgent      bool
	Resources   Resources
	Payload     []byte
	Checkpoint  string // object or worker reference to resume from, empty for a fresh start
	LeaseMillis int64
	Restarts    bool    // the task can't resume from a checkpoint
	Cost        float64 // slowdown that the owner expects of the class beside the service of the instance
	CostWeight  float64 // evidence for it, zero for none
}

// OfferArgs asks an agent to reserve capacity for a task.
type OfferArgs struct {
	Partition    int
	OwnerAddress string
	Task         TaskSpec
}

// OfferReply accepts or refuses an offer. Free lets the owner correct what it assumes to be free.
type OfferReply struct {
	Accepted bool
	Reason   string
	Detail   string
	Free     Resources
	Capacity Resources
	Tasks    int
	Idle     bool // the service of the instance gets next to no requests, so no task disturbs it
}

// ClaimArgs asks the owner for the lease of an accepted offer.
type ClaimArgs struct {
	Partition   int
	Ref         TaskRef
	Instance    string
	Incarnation uint64
}

// ClaimReply grants a lease that the agent counts from the time it sent the claim.
type ClaimReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Granted      bool
	Reason       string
	LeaseMillis  int64
}

// TaskStatus is the state of a task as its agent sees it.
type TaskStatus struct {
	Ref             TaskRef
	ProgressPercent int
	Checkpoint      string
	Usage           Resources // the highest seen, as it would be at full speed
	Committed       Resources // by the agent's ledger; set in answers to Adopt only
}

// RenewArgs asks an owner to renew the leases of the tasks of one partition on an
// agent. HeldCount and HeldDigest describe the tasks that both sides agree upon
// (lease.Set); Tasks lists the others, and those of the set with something new.
type RenewArgs struct {
	Partition   int
	Instance    string
	Incarnation uint64
	HeldCount   int
	HeldDigest  uint64
	Tasks       []TaskStatus
}

// StopOrder tells an agent to end a task.
type StopOrder struct {
	Ref        TaskRef
	Checkpoint bool // take a checkpoint first
	Reason     string
}

// RenewReply lists the renewed leases, counted from the time the agent sent the
// request, and the tasks to stop. Agreed renews every task of the set described;
// Disagreed asks the agent to list them. Any other task in neither list is not renewed.
type RenewReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Agreed       bool
	Disagreed    bool
	NextMillis   int64 // after which the owner wants the next renewal, zero for no preference
	Granted      []TaskRef
	LeaseMillis  []int64
	Stop         []StopOrder
}

// Ends of a task assignment.
const (
	EndFinished     = "finished"
	EndFailed       = "failed"
	EndCheckpointed = "checkpointed"
	EndStopped      = "stopped"
	EndNotStarted   = "notStarted"
	EndLost         = "lost" // the worker no longer has the task and has not finished it
)

// TaskEnd reports that an assignment ended and runs no more.
type TaskEnd struct {
	Ref        TaskRef
	End        string
	Checkpoint string
	Result     []byte
	Detail     string
	Evicted    bool
}

// ReportArgs reports ended assignments.
type ReportArgs struct {
	Partition   int
	Instance    string
	Incarnation uint64
	Ends        []TaskEnd
}

// ReportReply lists the ends that the owner has recorded durably or that are
// outdated. The agent repeats the others.
type ReportReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Recorded     []TaskRef
}

// AdoptArgs tells an agent the new owner of a partition.
type AdoptArgs struct {
	Partition    int
	Epoch        uint64
	OwnerAddress string
}

// AdoptReply lists the tasks of the partition that the agent holds: claimed,
// running, or ended with an end that is not acknowledged. The agent must drop
// later grants of assignments that it has not listed.
type AdoptReply struct {
	Ready       bool
	Incarnation uint64
	Tasks       []TaskStatus
}

// StopArgs carries stop orders to an agent.
type StopArgs struct {
	Partition int
	Orders    []StopOrder
}

// StopReply is empty: the end of each task is reported through Owner.Report.
type StopReply struct{}

// JobSpec is a submitted job.
type JobSpec struct {
	Key        string    `json:"key"`
	Workspace  string    `json:"workspace"`
	Team       string    `json:"team"`
	Class      string    `json:"class"`
	Kind       string    `json:"kind"`
	Urgent     bool      `json:"urgent"`
	Tasks      int       `json:"tasks"`
	Resources  Resources `json:"resources"`
	Payload    []byte    `json:"payload"`
	DeadlineAt int64     `json:"deadlineUnixMillis"`
	Service    string    `json:"service"`
}

// SubmitArgs submits a job to the owner of its partition.
type SubmitArgs struct {
	Partition int
	JobID     string
	Spec      JobSpec
}

// JobRefArgs names a job.
type JobRefArgs struct {
	Partition int
	JobID     string
}

// JobStatus describes a job and its tasks.
type JobStatus struct {
	JobID    string          `json:"jobID"`
	Spec     JobSpec         `json:"spec"`
	State    string          `json:"state"`
	Reason   string          `json:"reason,omitempty"`
	Tasks    []JobTaskStatus `json:"tasks"`
	Existing bool            `json:"existing,omitempty"`
}

// JobTaskStatus describes one task of a job.
type JobTaskStatus struct {
	Index      int    `json:"index"`
	State      string `json:"state"`
	Instance   string `json:"instance,omitempty"`
	Token      Token  `json:"token"`
	Attempts   int    `json:"attempts"`
	Evictions  int    `json:"evictions"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Progress   int    `json:"progressPercent"`
	Result     []byte `json:"result,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// JobReply carries the outcome of a job operation.
type JobReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Outcome      string // answered, notRun or unknown
	Reason       string
	Detail       string
	Status       JobStatus
	Explain      []string
}

// ServeArgs sends a service request to an agent.
type ServeArgs struct {
	RequestID       string
	Service         string
	Workspace       string
	Path            string
	Method          string
	Body            []byte
	RemainingMillis int64
	Batch           bool
}

// ServeReply carries the end of a service request with the identity of the request.
type ServeReply struct {
	RequestID   string
	Outcome     string
	Reason      string
	Detail      string
	Status      int
	Body        []byte
	BodyLength  int
	Incarnation uint64
	Outstanding int
	QueueMillis float64
}

// ResolveArgs asks for the outcome of a request. A request that was never started is fenced: it is
// refused if it arrives later.
type ResolveArgs struct {
	RequestID   string
	Incarnation uint64
}

// States of a resolved request.
const (
	ResolvedAnswered = "answered"
	ResolvedRunning  = "running"
	ResolvedNotRun   = "notRun"
	ResolvedUnknown  = "unknown"
)

// ResolveReply tells the outcome of a request.
type ResolveReply struct {
	State  string
	Answer ServeReply
}

// ExplainArgs asks a process to describe itself.
type ExplainArgs struct{}

// ExplainReply holds the description, a line for each fact.
type ExplainReply struct {
	Lines []string
}
