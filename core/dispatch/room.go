package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

const (
	// roomRequestLimit bounds the requests in each searchPeriod.
	roomRequestLimit = 4
	// roomLifetime is how long this process offers a task to the instance where another
	// process makes room, and roomRetryPeriod the time between two such offers. The
	// agent refuses them until the evicted tasks have stopped.
	roomLifetime    = 5 * time.Second
	roomRetryPeriod = 100 * time.Millisecond
)

// RoomRequest asks another process to make room for an urgent task, because this
// process has no task that it can evict for it.
type RoomRequest struct {
	task        string
	team        fleet.Team
	class       fleet.JobClass
	service     fleet.Service
	need        resource.Vector
	withinShare bool
	waited      time.Duration
}

// NewRoomRequest returns a request for a task. Within is set if the team of the task
// stays within its share with it, and waited is how long it has found no instance.
func NewRoomRequest(task string, tea fleet.Team, need resource.Vector, within bool, waited time.Duration) RoomRequest {
	return RoomRequest{task: task, team: tea, need: need, withinShare: within, waited: waited}
}

// WithClass returns the request with the class of the task and the service that its
// instance must have, empty for any.
func (roo RoomRequest) WithClass(cls fleet.JobClass, svc fleet.Service) RoomRequest {
	roo.class, roo.service = cls, svc
	return roo
}

// Task returns the ID of the task.
func (roo RoomRequest) Task() string { return roo.task }

// Team returns the team of the task.
func (roo RoomRequest) Team() fleet.Team { return roo.team }

// Class returns the class of the task.
func (roo RoomRequest) Class() fleet.JobClass { return roo.class }

// Service returns the service that the instance must have, empty for any.
func (roo RoomRequest) Service() fleet.Service { return roo.service }

// Need returns the amounts that must become free.
func (roo RoomRequest) Need() resource.Vector { return roo.need }

// WithinShare reports whether the team of the task stays within its share with it.
func (roo RoomRequest) WithinShare() bool { return roo.withinShare }

// Waited returns how long the task has found no instance.
func (roo RoomRequest) Waited() time.Duration { return roo.waited }

// requestRoom queues a request to other processes, unless one was granted recently,
// the limit of requests is reached or the scheduler is not short of capacity for it.
func (dsp *Dispatcher[P]) requestRoom(dem *demand, waited time.Duration) {
	if dsp.now.Sub(dsp.roomPeriodStart) >= searchPeriod {
		dsp.roomPeriodStart, dsp.roomRequestCount = dsp.now, 0
	}
	if dsp.now.Before(dem.roomEnd) || dsp.roomRequestCount >= roomRequestLimit || !dsp.sched.LacksCapacity(dem.task, dsp.now) {
		return
	}
	dsp.roomRequestCount++
	within := dsp.sched.WithinShare(dem.task)
	dsp.roomRequests = append(dsp.roomRequests, NewRoomRequest(string(dem.task.ID()), dem.task.Team(), dem.task.Declared(), within, waited).
		WithClass(dem.task.Class(), dem.service))
}

// TakeRoomRequests removes and returns the requests to send to other processes.
func (pla *Placement[P]) TakeRoomRequests() []RoomRequest {
	list := pla.dispatcher.roomRequests
	pla.dispatcher.roomRequests = nil
	return list
}

// MakeRoom evicts tasks of this process for a request of another one. It returns the
// instance, and false if no eviction helps.
func (pla *Placement[P]) MakeRoom(roo RoomRequest, now time.Time) (fleet.InstanceID, bool) {
	dsp := pla.dispatcher
	dsp.now = now
	tsk := place.NewTask(place.TaskID(roo.task), roo.task, roo.team, dsp.classes.canonical(roo.class, classLimit), roo.need).Urgent()
	vics := dsp.sched.EvictFor(tsk, roo.withinShare, dsp.instanceFilter(tsk.Class(), roo.service), roo.waited, now)
	for _, vic := range vics {
		dsp.evict(vic)
	}
	if len(vics) == 0 {
		return "", false
	}
	return vics[0].Instance(), true
}

// RoomMade records that another process makes room on an instance.
func (pla *Placement[P]) RoomMade(roo RoomRequest, id fleet.InstanceID, now time.Time) {
	if dem := pla.dispatcher.demands[roo.task]; dem != nil {
		dem.room, dem.roomEnd = id, now.Add(roomLifetime)
	}
}

// hintRoom raises the free amounts of the instance where another process makes room
// for a task, so that the next choice can select it.
func (dsp *Dispatcher[P]) hintRoom(req place.Task) {
	dem := dsp.demands[string(req.ID())]
	if dem == nil || !dsp.now.Before(dem.roomEnd) || dsp.now.Sub(dem.roomTriedAt) < roomRetryPeriod {
		return
	}
	if viw := dsp.instances[dem.room]; viw != nil {
		dem.roomTriedAt = dsp.now
		dsp.sched.SetFree(dem.room, viw.clamp(dsp.reportedFree(viw).Max(req.Declared().Plus(viw.pending))))
	}
}
