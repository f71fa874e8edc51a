package owner

import (
	"context"
	"slices"
	"time"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/io/message"
)

const (
	// maxRoomCalls bounds the number of owners asked to make room for one task.
	maxRoomCalls = 4
	// roomTimeout ends the search. Urgent work should start within this time, so later room
	// is of little use.
	roomTimeout = time.Second
)

// RoomSeeker is an optional interface of a placement. It requests room for urgent
// tasks from other processes and makes room for theirs.
type RoomSeeker interface {
	TakeRoomRequests() []dispatch.RoomRequest
	RoomMade(roo dispatch.RoomRequest, id fleet.InstanceID, now time.Time)
	MakeRoom(roo dispatch.RoomRequest, now time.Time) (fleet.InstanceID, bool)
}

// sendRoomRequests sends the requests of a partition's placement to the owners of other
// partitions.
func (sta *state[P]) sendRoomRequests(slt *slot[P], now time.Time) {
	skr, able := any(slt.tenure.part.Placement()).(RoomSeeker)
	if !able {
		return
	}
	for _, roo := range skr.TakeRoomRequests() {
		nums, own, ten := sta.otherPartitions(now), sta.owner, slt.tenure
		own.call(func(ctx context.Context) {
			limited, cancel := context.WithTimeout(ctx, roomTimeout)
			defer cancel()
			if id := own.requestRoom(limited, nums, roo); id != "" {
				own.post(ctx, func(_ *state[P], now time.Time) {
					if slt.tenure == ten {
						skr.RoomMade(roo, id, now)
					}
				})
			}
		})
	}
}

// otherPartitions returns up to maxRoomCalls partitions that this process does not
// serve, in random order.
func (sta *state[P]) otherPartitions(now time.Time) []int {
	var nums []int
	for _, slt := range sta.slots {
		if !slt.serves(now) {
			nums = append(nums, slt.num)
		}
	}
	sta.random.Shuffle(len(nums), func(one, two int) { nums[one], nums[two] = nums[two], nums[one] })
	return slices.Clone(nums[:min(len(nums), maxRoomCalls)])
}

// requestRoom asks the owners of partitions one after another until one makes room.
// It returns the instance with the room, or an empty ID.
func (own *Owner[P]) requestRoom(ctx context.Context, nums []int, roo dispatch.RoomRequest) fleet.InstanceID {
	for _, num := range nums {
		args := message.RoomArgs{Partition: num, Task: roo.Task(), Team: string(roo.Team()), Class: string(roo.Class()),
			Service: string(roo.Service()), Need: encodeVector(roo.Need()), Within: roo.WithinShare(), WaitedMillis: roo.Waited().Milliseconds()}
		roomsAsked.Inc()
		rep, _, err := route(ctx, own.client, num, "Owner.MakeRoom", args, func(rep *message.RoomReply) (bool, string) {
			return rep.NotOwner, rep.OwnerAddress
		})
		if err != nil {
			return ""
		}
		if rep.Instance != "" {
			return fleet.InstanceID(rep.Instance)
		}
	}
	return ""
}

// MakeRoom stops batch tasks for an urgent task of another owner; see dispatch.Placement.MakeRoom.
func (svc *Service[P]) MakeRoom(args message.RoomArgs, reply *message.RoomReply) error {
	return handle(svc, args.Partition, reply, func(req *request[P], done func(message.RoomReply)) {
		if req.slot == nil {
			done(message.RoomReply{NotOwner: true, OwnerAddress: req.owner})
			return
		}
		rep := message.RoomReply{}
		if skr, able := any(req.part().Placement()).(RoomSeeker); able {
			roo := dispatch.NewRoomRequest(args.Task, fleet.Team(args.Team), decodeVector(args.Need), args.Within,
				time.Duration(args.WaitedMillis)*time.Millisecond).WithClass(fleet.JobClass(args.Class), fleet.Service(args.Service))
			if id, made := skr.MakeRoom(roo, req.now); made {
				rep.Instance = string(id)
				req.state.owner.alarm.Arm(req.now, req.now) // the next tick stops the tasks
				roomsMade.Inc()
			}
		}
		done(rep)
	})
}
