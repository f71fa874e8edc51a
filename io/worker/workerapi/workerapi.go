// Package workerapi holds the JSON messages of the worker interface and of the
// announcements that an endpoint sends to its agent, with their translation to
// and from the types of core/worker.
//
//	GET  /worker/v1/state                      -> StateReply
//	POST /worker/v1/start     StartRequest     -> StartReply
//	POST /worker/v1/renew     RenewRequest     -> RenewReply
//	POST /worker/v1/stop      StopRequest      -> TaskReport
//	POST /worker/v1/throttle  ThrottleRequest  -> {}
//	POST /worker/v1/forget    ForgetRequest    -> {}
//	PUT  {agent}/v1/endpoint  Announcement     -> AnnouncementReply
//
// Clocks and deadlines are milliseconds of the worker's own monotonic clock,
// which begins again with each incarnation.
package workerapi

import (
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
)

// Paths of the worker interface and of the agent's announcement endpoint.
const (
	StatePath        = "/worker/v1/state"
	StartPath        = "/worker/v1/start"
	RenewPath        = "/worker/v1/renew"
	StopPath         = "/worker/v1/stop"
	ThrottlePath     = "/worker/v1/throttle"
	ForgetPath       = "/worker/v1/forget"
	AnnouncementPath = "/v1/endpoint"
)

// Resources is an amount of each resource.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU"`
	MemoryMB     int64 `json:"memoryMB"`
	Accelerators int64 `json:"accelerators"`
}

// NewResources returns the message of a vector.
func NewResources(vec resource.Vector) Resources {
	return Resources{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

// Vector returns the vector of the message.
func (res Resources) Vector() resource.Vector {
	return resource.New(res.MilliCPU, res.MemoryMB, res.Accelerators)
}

// Token orders the assignments of a task.
type Token struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Ref names one assignment of a task.
type Ref struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	Token Token  `json:"token"`
}

// NewRef returns the message of an assignment's name.
func NewRef(ref worker.Ref) Ref {
	return Ref{
		Job:   ref.Job(),
		Index: ref.Index(),
		Token: Token{Epoch: ref.Token().Epoch(), Sequence: ref.Token().Sequence()},
	}
}

// Core returns the name of the assignment.
func (ref Ref) Core() worker.Ref {
	return worker.NewRef(ref.Job, ref.Index, token.New(ref.Token.Epoch, ref.Token.Sequence))
}

// Millis returns the message of an instant. It rounds down, so that a deadline
// never becomes later by its translation.
func Millis(ins worker.Instant) int64 { return time.Duration(ins).Milliseconds() }

// Instant returns the instant of a message.
func Instant(millis int64) worker.Instant {
	return worker.Instant(time.Duration(millis) * time.Millisecond)
}

// Announcement tells an agent about its co-located endpoint and worker.
type Announcement struct {
	Service     string    `json:"service"`
	Address     string    `json:"address"`
	Incarnation uint64    `json:"incarnation"`
	State       string    `json:"state"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Capacity    Resources `json:"capacity"`
}

// States of an endpoint.
const (
	EndpointReady   = "ready"
	EndpointLeaving = "leaving"
)

// AnnouncementReply tells a leaving endpoint whether nothing is in flight or
// running any more, so that it may exit.
type AnnouncementReply struct {
	Drained bool `json:"drained"`
}
