package batch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Report is the state of an instance that its agent sends to the owner of the jobs. Unless it is partial, a run that
// is neither in Runs nor in Events is not on the instance and has not ended there.
type Report struct {
	Instance    fleet.InstanceID
	Session     uint64 // increases with each process of the agent and each incarnation of the worker
	Incarnation Incarnation
	Service     fleet.Service
	Location    fleet.Location
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	Remaining   time.Duration // minimum time until a draining worker shuts down
	Unready     bool          // the worker does not respond
	Partial     bool          // the worker has more ends than it lists at once, so Events may lack some
	Runs        []RunState
	Events      []Event
	AckedOrders uint64 // sequence number of the last order that the agent has received
}

// RunState is the state of a run that is running or about to start on an instance.
type RunState struct {
	ID         RunID
	Working    bool // the worker lists the run
	Stopping   bool // the agent is stopping the run
	Checkpoint string
	Percent    int     // of the work that is done; for a long-running task, 100 when it has fully started
	Share      int     // percentage of full speed at which a best-effort task may run, -1 when unknown
	Figure     float64 // tail latency in ms of a serving task, otherwise CPU use in mCPU
}

// Event is the end of one run, or of the order to start it.
type Event struct {
	Seq        uint64
	ID         RunID
	Cause      EndCause
	Checkpoint string
	Reason     string        // of a refusal
	Took       time.Duration // from the start to the end of the run, zero if unknown
}

// News is what an agent sends between two reports: the ends of runs since the last one.
type News struct {
	Instance    fleet.InstanceID
	Session     uint64
	Events      []Event
	AckedOrders uint64 // sequence number of the last order that the agent has received
}

// OrderKind is the action that an order requests.
type OrderKind int

// Kinds of orders.
const (
	StartRun OrderKind = iota
	StopRun
	DescribeRun // tells the agent the resources and properties of a run that it lists; starts nothing
)

// Order is an instruction for an agent about one run.
type Order struct {
	Seq           uint64
	Kind          OrderKind
	ID            RunID
	Payload       string
	Checkpoint    string
	Need          resource.Vector
	MilliCPU      int64 // CPU use at full speed
	BestEffort    bool
	LongRunning   bool
	Image         string
	Target        time.Duration
	Authorization string // by the policy service, to run on the worker; empty if no permission is needed
}
