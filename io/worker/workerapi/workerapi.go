// Package workerapi defines the JSON messages of the worker API and of the announcements that an
// endpoint sends to its agent, and converts the messages of the worker API to and from the types of
// core/worker.
//
//	GET  /worker/v1/state                      -> StateReply
//	POST /worker/v1/start     StartRequest     -> StartReply
//	POST /worker/v1/renew     RenewRequest     -> RenewReply
//	POST /worker/v1/stop      StopRequest      -> TaskReport
//	POST /worker/v1/throttle  ThrottleRequest  -> {}
//	POST /worker/v1/forget    ForgetRequest    -> {}
//	PUT  {agent}/v1/endpoint  Announcement     -> AnnouncementReply
//
// Clocks and deadlines are milliseconds of the worker's monotonic clock, which restarts with each
// incarnation.
package workerapi

import (
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
)

// Paths of the worker API and of the agent's handler for announcements.
const (
	StatePath        = "/worker/v1/state"
	StartPath        = "/worker/v1/start"
	RenewPath        = "/worker/v1/renew"
	StopPath         = "/worker/v1/stop"
	ThrottlePath     = "/worker/v1/throttle"
	ForgetPath       = "/worker/v1/forget"
	AnnouncementPath = "/v1/endpoint"
)

// Resources is the message for a resource.Vector.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU"`
	MemoryMB     int64 `json:"memoryMB"`
	Accelerators int64 `json:"accelerators"`
}

// NewResources returns the message for a vector.
func NewResources(vec resource.Vector) Resources {
	return Resources{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()}
}

// Vector converts the message to a resource.Vector.
func (res Resources) Vector() resource.Vector {
	return resource.New(res.MilliCPU, res.MemoryMB, res.Accelerators)
}

// Token is the message for a token.Token, which orders the assignments of a task.
type Token struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Ref is the message for a worker.Ref, which identifies an assignment of a task.
type Ref struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	Token Token  `json:"token"`
}

// NewRef returns the message for a reference.
func NewRef(ref worker.Ref) Ref {
	return Ref{
		Job:   ref.Job(),
		Index: ref.Index(),
		Token: Token{Epoch: ref.Token().Epoch(), Sequence: ref.Token().Sequence()},
	}
}

// Core converts the message to a worker.Ref.
func (ref Ref) Core() worker.Ref {
	return worker.NewRef(ref.Job, ref.Index, token.New(ref.Token.Epoch, ref.Token.Sequence))
}

// Millis converts an instant to whole milliseconds. It discards the fraction, so that the conversion
// does not make a deadline later.
func Millis(ins worker.Instant) int64 { return time.Duration(ins).Milliseconds() }

// Instant converts milliseconds to an instant.
func Instant(millis int64) worker.Instant {
	return worker.Instant(time.Duration(millis) * time.Millisecond)
}

// Announcement describes the endpoint and the capacity of an instance to its agent.
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

// AnnouncementReply is the reply to an Announcement. Drained is true for a leaving endpoint once its
// instance has no request and no task left; the endpoint may then exit.
type AnnouncementReply struct {
	Drained bool `json:"drained"`
}
