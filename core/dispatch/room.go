package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

const (
	// askLimit bounds the requests in each searchPeriod.
	askLimit = 4
	// roomLife is how long room made by another process is tried, and
	// roomTryPeriod the time between two offers there. Its agent refuses until the
	// tasks have stopped.
	roomLife      = 5 * time.Second
	roomTryPeriod = 100 * time.Millisecond
)

// Room asks another process to make room for an urgent task, because no task of
// this one can be stopped for it.
type RoomRequest struct {
	task    string
	team    fleet.Team
	class   fleet.JobClass
	service fleet.Service
	need    resource.Vector
	within  bool
	waited  time.Duration
}

// NewRoom returns a request for a task; within tells that its team stays within
// its share with it.
func NewRoomRequest(task string, tea fleet.Team, need resource.Vector, within bool, waited time.Duration) RoomRequest {
	return RoomRequest{task: task, team: tea, need: need, within: within, waited: waited}
}

// For returns the request with the class of the task and the service that it needs beside it.
func (roo RoomRequest) WithClass(cls fleet.JobClass, svc fleet.Service) RoomRequest {
	roo.class, roo.service = cls, svc
	return roo
}

// Task returns the name of the task.
func (roo RoomRequest) Task() string { return roo.task }

// Team returns the team of the task.
func (roo RoomRequest) Team() fleet.Team { return roo.team }

// Class returns the class of the task.
func (roo RoomRequest) Class() fleet.JobClass { return roo.class }

// Service returns the service that the task needs beside it, empty for any.
func (roo RoomRequest) Service() fleet.Service { return roo.service }

// Need returns the amounts to be made free.
func (roo RoomRequest) Need() resource.Vector { return roo.need }

// Within reports whether the team of the task stays within its share.
func (roo RoomRequest) WithinShare() bool { return roo.within }

// Waited returns how long the task has found no instance.
func (roo RoomRequest) Waited() time.Duration { return roo.waited }

// ask notes that other processes have to be asked for room.
func (dsp *Dispatcher[P]) ask(dem *demand, waited time.Duration) {
	if dsp.now.Sub(dsp.askedAt) >= searchPeriod {
		dsp.askedAt, dsp.asked = dsp.now, 0
	}
	if dsp.now.Before(dem.roomEnd) || dsp.asked >= askLimit || !dsp.sched.LacksCapacity(dem.task, dsp.now) {
		return
	}
	dsp.asked++
	within := dsp.sched.WithinShare(dem.task)
	dsp.asks = append(dsp.asks, NewRoomRequest(string(dem.task.ID()), dem.task.Team(), dem.task.Declared(), within, waited).
		WithClass(dem.task.Class(), dem.service))
}

// WantedRoom returns the requests to send to other processes, each once.
func (prt *Placement[P]) TakeRoomRequests() []RoomRequest {
	list := prt.dispatcher.asks
	prt.dispatcher.asks = nil
	return list
}

// MakeRoom stops tasks of this process for a request of another one and returns
// the instance, if any.
func (prt *Placement[P]) MakeRoom(roo RoomRequest, now time.Time) (fleet.InstanceID, bool) {
	dsp := prt.dispatcher
	dsp.now = now
	tsk := place.NewTask(place.TaskID(roo.task), roo.task, roo.team, dsp.classes.bound(roo.class, classLimit), roo.need).Urgent()
	vics := dsp.sched.EvictFor(tsk, roo.within, dsp.accepts(tsk.Class(), roo.service), roo.waited, now)
	for _, vic := range vics {
		dsp.evict(vic)
	}
	if len(vics) == 0 {
		return "", false
	}
	return vics[0].Instance(), true
}

// RoomMade learns that another process makes room on an instance.
func (prt *Placement[P]) RoomMade(roo RoomRequest, id fleet.InstanceID, now time.Time) {
	if dem := prt.dispatcher.demands[roo.task]; dem != nil {
		dem.room, dem.roomEnd = id, now.Add(roomLife)
	}
}

// tryRoom makes the room that another process has made for a task visible for one choice.
func (dsp *Dispatcher[P]) tryRoom(req place.Task) {
	dem := dsp.demands[string(req.ID())]
	if dem == nil || !dsp.now.Before(dem.roomEnd) || dsp.now.Sub(dem.roomTried) < roomTryPeriod {
		return
	}
	if viw := dsp.instances[dem.room]; viw != nil {
		dem.roomTried = dsp.now
		dsp.sched.SetFree(dem.room, viw.clamp(dsp.reported(viw).Max(req.Declared().Plus(viw.pending))))
	}
}
