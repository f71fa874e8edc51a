// Package batchrpc defines the net/rpc messages between the agents and the owner
// of the jobs, and converts them from and to the types of the core.
//
// An agent sends reports and asks for orders by long poll. Both carry the epoch
// of the owner that the agent follows; another process answers with NotOwner.
package batchrpc

import (
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Names of the remote methods.
const (
	ServiceName  = "Jobs"
	ReportMethod = ServiceName + ".Report"
	OrdersMethod = ServiceName + ".Orders"
)

// OrdersWait is how long an owner without orders holds a request for them.
const OrdersWait = time.Second

// Vector is a resource.Vector.
type Vector struct{ CPU, Memory, Accelerators int64 }

func fromVector(vec resource.Vector) Vector {
	return Vector{CPU: vec.MilliCPU(), Memory: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

func (vec Vector) core() resource.Vector {
	return resource.New(vec.CPU, vec.Memory, vec.Accelerators)
}

// ReportArgs is a report of an agent.
type ReportArgs struct {
	Epoch                                       uint64
	Instance, Life, Service, Region, DataCentre string
	Session, OrdersSeen                         uint64
	Labels                                      []string
	Capacity                                    Vector
	Draining, Unready                           bool
	Remaining                                   time.Duration
	Runs                                        []batch.RunState
	Events                                      []batch.Event
}

// ReportReply is the answer to a report.
type ReportReply struct {
	NotOwner bool
	Healthy  bool          // the owner reached the store recently
	Grant    time.Duration // the worker's lease may be renewed for so long, counted from the sending of the report
	Acked    uint64
}

// OrdersArgs asks for orders.
type OrdersArgs struct {
	Epoch    uint64
	Instance string
	Session  uint64
	Seen     uint64 // orders up to this one were taken over
	Acked    uint64 // events up to this one are known to be stored
}

// Order is a batch.Order.
type Order struct {
	Seq                        uint64
	Kind                       batch.OrderKind
	ID                         batch.RunID
	Payload, Checkpoint, Image string
	Need                       Vector
	MilliCPU                   int64
	Fills, Lasting             bool
	Target                     time.Duration
	Grant                      string
}

// OrdersReply carries the orders that the agent has not taken over.
type OrdersReply struct {
	NotOwner bool
	Unknown  bool // the owner has not heard of the session: a report is needed first
	Orders   []Order
	Acked    uint64
}

// FromReport converts a report.
func FromReport(epoch uint64, rep batch.Report) ReportArgs {
	return ReportArgs{
		Epoch: epoch, Instance: string(rep.Instance), Life: string(rep.Incarnation), Service: string(rep.Service),
		Region: string(rep.Location.Region()), DataCentre: string(rep.Location.DataCentre()),
		Session: rep.Session, OrdersSeen: rep.AckedOrders, Labels: rep.Labels, Capacity: fromVector(rep.Capacity),
		Draining: rep.Draining, Unready: rep.Unready, Remaining: rep.Remaining, Runs: rep.Runs, Events: rep.Events,
	}
}

// Core converts the message to a report.
func (arg ReportArgs) Core() batch.Report {
	return batch.Report{
		Instance: fleet.InstanceID(arg.Instance), Session: arg.Session, Incarnation: batch.Incarnation(arg.Life), Service: fleet.Service(arg.Service),
		Location: fleet.NewLocation(fleet.Region(arg.Region), fleet.DataCentre(arg.DataCentre), ""),
		Labels:   arg.Labels, Capacity: arg.Capacity.core(), Draining: arg.Draining, Unready: arg.Unready,
		Remaining: arg.Remaining, Runs: arg.Runs, Events: arg.Events, AckedOrders: arg.OrdersSeen,
	}
}

// FromOrders converts orders.
func FromOrders(ords []batch.Order) []Order {
	out := make([]Order, len(ords))
	for num, ord := range ords {
		out[num] = Order{
			Seq: ord.Seq, Kind: ord.Kind, ID: ord.ID, Payload: ord.Payload, Checkpoint: ord.Checkpoint, Image: ord.Image,
			Need: fromVector(ord.Need), MilliCPU: ord.MilliCPU, Fills: ord.BestEffort, Lasting: ord.LongRunning, Target: ord.Target,
			Grant: ord.Authorization,
		}
	}
	return out
}

// CoreOrders converts the orders of a reply.
func (rep OrdersReply) CoreOrders() []batch.Order {
	out := make([]batch.Order, len(rep.Orders))
	for num, ord := range rep.Orders {
		out[num] = batch.Order{
			Seq: ord.Seq, Kind: ord.Kind, ID: ord.ID, Payload: ord.Payload, Checkpoint: ord.Checkpoint, Image: ord.Image,
			Need: ord.Need.core(), MilliCPU: ord.MilliCPU, BestEffort: ord.Fills, LongRunning: ord.Lasting, Target: ord.Target,
			Authorization: ord.Grant,
		}
	}
	return out
}
