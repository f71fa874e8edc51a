package batch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Report is what an agent tells the owner of the jobs about its instance. It is
// complete: a run that is neither in Runs nor in Events is not there.
type Report struct {
	Instance    fleet.InstanceID
	Session     uint64 // rises with each process of the agent and each life of the worker
	Incarnation Incarnation
	Service     fleet.Service
	Location    fleet.Location
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	Remaining   time.Duration // at least this long until a draining worker leaves
	Unready     bool          // the worker doesn't answer
	Runs        []RunState
	Events      []Event
	AckedOrders uint64 // orders up to this one were taken over by the agent
}

// RunState is one run that is at work or about to start on an instance.
type RunState struct {
	ID         RunID
	Working    bool // the worker lists the run
	Checkpoint string
	Percent    int     // of the work that is done; of a lasting task, 100 when it is at work
	Share      int     // percentage at which a filling task may work, -1 when unknown
	Figure     float64 // tail latency in milliseconds of a serving task, otherwise processors in use in mCPU
}

// Event is the end of one run, or of the order to start it.
type Event struct {
	Seq        uint64
	ID         RunID
	Cause      EndCause
	Checkpoint string
	Reason     string // of a refusal
}

// OrderKind is what an order asks for.
type OrderKind int

// Kinds of orders.
const (
	StartRun OrderKind = iota
	StopRun
	DescribeRun // names what a run that the agent lists uses; it starts nothing
)

// Order tells an agent what to do with a run.
type Order struct {
	Seq         uint64
	Kind        OrderKind
	ID          RunID
	Payload     string
	Checkpoint  string
	Need        resource.Vector
	MilliCPU    int64 // in use at full speed
	BestEffort  bool
	LongRunning bool
	Image       string
	Target      time.Duration
	Ticket      string // permission of the policy service for the worker, empty when none is needed
}
