// Package batchrpc defines the net/rpc messages between agents and the owner of the jobs, and converts
// them from and to the types of package batch.
//
// An agent sends reports, sends news between them, and requests orders by long poll. All contain the epoch
// of the owner that the agent follows. A process that is not the owner of that epoch answers with NotOwner.
package batchrpc

import (
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Names of the net/rpc service and its methods.
const (
	ServiceName  = "Jobs"
	ReportMethod = ServiceName + ".Report"
	NewsMethod   = ServiceName + ".News"
	OrdersMethod = ServiceName + ".Orders"
	// ReplacedMethod tells a process that another one has taken the partition over from it.
	ReplacedMethod = ServiceName + ".Replaced"
)

// OrdersWait is how long the owner waits for orders before it answers a request for orders without any.
const OrdersWait = time.Second

// Vector is a resource.Vector. CPU is in thousandths of a core, Memory in MB.
type Vector struct{ CPU, Memory, Accelerators int64 }

func fromVector(vec resource.Vector) Vector {
	return Vector{CPU: vec.MilliCPU(), Memory: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

func (vec Vector) core() resource.Vector {
	return resource.New(vec.CPU, vec.Memory, vec.Accelerators)
}

// Abstention is a promise of an agent's process to take nothing over, see lead.Elector.Abstain. It belongs to the message
// that contains it.
type Abstention struct {
	Given bool
	Stamp int64 // ReportReply.Stamp of an answer that the agent got before it gave the promise
}

// Owner names the owner of an epoch.
type Owner struct {
	Epoch           uint64
	Holder, Address string
}

// ReplacedReply is the answer to an Owner that has replaced the receiver.
type ReplacedReply struct{ Known bool }

// ReportArgs is a report of an agent.
type ReportArgs struct {
	Abstention                                  Abstention
	Epoch                                       uint64
	Instance, Life, Service, Region, DataCentre string
	Session, OrdersSeen                         uint64
	Labels                                      []string
	Capacity                                    Vector
	Draining, Unready, Partial                  bool
	Remaining                                   time.Duration
	Runs                                        []batch.RunState
	Events                                      []batch.Event
}

// NewsArgs is a batch.News.
type NewsArgs struct {
	Abstention          Abstention
	Epoch               uint64
	Instance            string
	Session, OrdersSeen uint64
	Events              []batch.Event
}

// ReportReply is the answer to a report or to news.
type ReportReply struct {
	NotOwner bool
	Unknown  bool          // the owner does not know the session of the news; the agent must report first
	Healthy  bool          // the owner reached the store recently
	Grant    time.Duration // for which the worker's lease may be renewed, counted from the sending of the report
	Acked    uint64        // events up to this one are stored
	Stamp    int64         // time of the answer on the owner's clock, in ns
	Newer    Owner         // set with NotOwner if the process knows a newer owner
}

// OrdersArgs requests the orders for an instance.
type OrdersArgs struct {
	Epoch    uint64
	Instance string
	Session  uint64
	Seen     uint64 // orders up to this one were received
	Acked    uint64 // events up to this one are known to be stored
}

// Order is a batch.Order. Fills is BestEffort, Lasting is LongRunning and Grant is
// Authorization.
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

// OrdersReply contains the orders that the agent has not received.
type OrdersReply struct {
	NotOwner bool
	Unknown  bool // the owner does not know the session; the agent must report first
	Orders   []Order
	Acked    uint64 // events up to this one are stored
	// StartsFor is how long runs may be started, those of earlier orders included, counted from the sending of the
	// request. It is negative if none may, and zero from an owner of a version that does not tell.
	StartsFor time.Duration
}

// undatedStartsFor applies to the orders of an owner that does not tell for how long runs may be started.
const undatedStartsFor = 3 * time.Second

// SetStartsFor allows starts for a time from the sending of the request. There are none if it is zero or negative.
func (rep *OrdersReply) SetStartsFor(dur time.Duration) {
	rep.StartsFor = dur
	if dur <= 0 {
		rep.StartsFor = -1
	}
}

// StartsUntil returns the time until which runs may be started if the request was sent at sentAt.
func (rep OrdersReply) StartsUntil(sentAt time.Time) time.Time {
	if rep.StartsFor == 0 {
		return sentAt.Add(undatedStartsFor)
	}
	return sentAt.Add(rep.StartsFor)
}

// FromReport converts a report for the owner of an epoch.
func FromReport(epoch uint64, rep batch.Report) ReportArgs {
	return ReportArgs{
		Epoch: epoch, Instance: string(rep.Instance), Life: string(rep.Incarnation), Service: string(rep.Service),
		Region: string(rep.Location.Region()), DataCentre: string(rep.Location.DataCentre()),
		Session: rep.Session, OrdersSeen: rep.AckedOrders, Labels: rep.Labels, Capacity: fromVector(rep.Capacity),
		Draining: rep.Draining, Unready: rep.Unready, Partial: rep.Partial, Remaining: rep.Remaining, Runs: rep.Runs, Events: rep.Events,
	}
}

// FromNews converts news for the owner of an epoch.
func FromNews(epoch uint64, nws batch.News) NewsArgs {
	return NewsArgs{Epoch: epoch, Instance: string(nws.Instance), Session: nws.Session, OrdersSeen: nws.AckedOrders, Events: nws.Events}
}

// Core converts the arguments to news.
func (arg NewsArgs) Core() batch.News {
	return batch.News{Instance: fleet.InstanceID(arg.Instance), Session: arg.Session, AckedOrders: arg.OrdersSeen, Events: arg.Events}
}

// Core converts the arguments to a report.
func (arg ReportArgs) Core() batch.Report {
	return batch.Report{
		Instance: fleet.InstanceID(arg.Instance), Session: arg.Session, Incarnation: batch.Incarnation(arg.Life), Service: fleet.Service(arg.Service),
		Location: fleet.NewLocation(fleet.Region(arg.Region), fleet.DataCentre(arg.DataCentre), ""),
		Labels:   arg.Labels, Capacity: arg.Capacity.core(), Draining: arg.Draining, Unready: arg.Unready, Partial: arg.Partial,
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
