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
	// roomCalls bounds the owners asked for room for one task.
	roomCalls = 4
	// roomLimit ends the search, which is worth little after the time in which urgent work should start.
	roomLimit = time.Second
)

// RoomSeeker is an optional part of a placement: it asks other processes to make
// room for urgent tasks and does so for them.
type RoomSeeker interface {
	TakeRoomRequests() []dispatch.RoomRequest
	RoomMade(roo dispatch.RoomRequest, id fleet.InstanceID, now time.Time)
	MakeRoom(roo dispatch.RoomRequest, now time.Time) (fleet.InstanceID, bool)
}

// seekRoom sends the requests of the placement of a partition to the owners of other partitions.
func (sta *state[P]) seekRoom(slt *slot[P], now time.Time) {
	skr, able := any(slt.tenure.part.Placement()).(RoomSeeker)
	if !able {
		return
	}
	for _, roo := range skr.TakeRoomRequests() {
		nums, own, ten := sta.foreign(now), sta.owner, slt.tenure
		own.call(func(ctx context.Context) {
			limited, cancel := context.WithTimeout(ctx, roomLimit)
			defer cancel()
			if id := own.askRoom(limited, nums, roo); id != "" {
				own.post(ctx, func(_ *state[P], now time.Time) {
					if slt.tenure == ten {
						skr.RoomMade(roo, id, now)
					}
				})
			}
		})
	}
}

// foreign returns some partitions that this process does not serve, in random order.
func (sta *state[P]) foreign(now time.Time) []int {
	var nums []int
	for _, slt := range sta.slots {
		if !slt.serves(now) {
			nums = append(nums, slt.num)
		}
	}
	sta.random.Shuffle(len(nums), func(one, two int) { nums[one], nums[two] = nums[two], nums[one] })
	return slices.Clone(nums[:min(len(nums), roomCalls)])
}

// askRoom asks owners one after another until one makes room.
func (own *Owner[P]) askRoom(ctx context.Context, nums []int, roo dispatch.RoomRequest) fleet.InstanceID {
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

// MakeRoom stops batch tasks for an urgent task of another owner; see dispatch.Part.MakeRoom.
func (svc *Service[P]) MakeRoom(args message.RoomArgs, reply *message.RoomReply) error {
	return exchange(svc, args.Partition, reply, func(trn *turn[P], done func(message.RoomReply)) {
		if trn.slot == nil {
			done(message.RoomReply{NotOwner: true, OwnerAddress: trn.owner})
			return
		}
		rep := message.RoomReply{}
		if skr, able := any(trn.part().Placement()).(RoomSeeker); able {
			roo := dispatch.NewRoomRequest(args.Task, fleet.Team(args.Team), decodeVector(args.Need), args.Within,
				time.Duration(args.WaitedMillis)*time.Millisecond).WithClass(fleet.JobClass(args.Class), fleet.Service(args.Service))
			if id, made := skr.MakeRoom(roo, trn.now); made {
				rep.Instance = string(id)
				trn.state.owner.alarm.Arm(trn.now, trn.now) // the next tick stops the tasks
				roomsMade.Inc()
			}
		}
		done(rep)
	})
}
