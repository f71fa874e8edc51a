// Joining plays starts of small fleets in the membership of core/member, in virtual time and without loss, and prints how long it takes
// until every process knows all others. It shows what may be behind the red entry on specs that fail at the start of their fleet.
// It is no case of the review.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
)

const (
	step  = 10 * time.Millisecond // and the time that a datagram takes
	limit = time.Minute
	// late is the time that specs allow (30 s) less the 3 s that the processes of a fleet take to start.
	late = 27 * time.Second
	// again is the time after which a process that knows no other reads the table again.
	again = 5 * time.Second
)

// start is one start of a fleet.
type start struct {
	now      time.Time
	machines []*member.Machine
	begins   []time.Duration // when each process has written its address into the table and reads those of others
	flying   []datagram
}

type datagram struct {
	from int
	env  member.Envelope
}

func address(num int) member.Address { return member.Address(fmt.Sprintf("127.0.0.1:%d", 20000+num)) }

func newStart(size int, spread time.Duration, seed uint64) *start {
	random := rand.New(rand.NewPCG(seed, 0))
	sta := &start{now: time.Unix(1_700_000_000, 0)}
	for num := range size {
		loc := fleet.NewLocation("region", "zone", fleet.Rack(fmt.Sprintf("rack-%d", num)))
		pro := member.NewProfile(member.RoleAgent, address(num), address(num), loc)
		mac := member.New(fleet.InstanceID(fmt.Sprintf("agent-%d", num)), 1, pro, rand.New(rand.NewPCG(seed, uint64(num+1))))
		sta.machines = append(sta.machines, mac)
		sta.begins = append(sta.begins, time.Duration(random.Int64N(int64(spread))).Truncate(step))
	}
	return sta
}

// read sets the addresses that a process reads from the table: those of all that have written theirs.
func (sta *start) read(num int, past time.Duration) {
	mac, since := sta.machines[num], past-sta.begins[num]
	if since < 0 || since%again != 0 || mac.Count(member.StateAlive) > 0 {
		return
	}
	var list []member.Address
	for oth, beg := range sta.begins {
		if oth != num && beg <= past {
			list = append(list, address(oth))
		}
	}
	mac.SetSeeds(list)
}

func (sta *start) complete() bool {
	for _, mac := range sta.machines {
		if mac.Count(member.StateAlive) < len(sta.machines)-1 {
			return false
		}
	}
	return true
}

// play returns the time until all processes know each other.
func (sta *start) play() time.Duration {
	for past := time.Duration(0); past < limit; past += step {
		sta.now = sta.now.Add(step)
		arriving := sta.flying
		sta.flying = nil
		for _, dgm := range arriving {
			for num, mac := range sta.machines {
				if address(num) == dgm.env.To() {
					mac.Receive(sta.now, address(dgm.from), dgm.env.Message())
				}
			}
		}
		for num, mac := range sta.machines {
			sta.read(num, past)
			mac.Tick(sta.now)
			outgoing, _ := mac.Drain()
			for _, env := range outgoing {
				sta.flying = append(sta.flying, datagram{from: num, env: env})
			}
		}
		if sta.complete() {
			return past
		}
	}
	return limit
}

func main() {
	size := flag.Int("size", 5, "processes of a fleet")
	spread := flag.Duration("spread", 100*time.Millisecond, "time within which all processes start")
	seeds := flag.Uint64("seeds", 10000, "starts, by the seeds from 1 on")
	flag.Parse()
	count := 0
	for seed := range *seeds {
		if took := newStart(*size, *spread, seed+1).play(); took > late {
			count++
			fmt.Printf("seed %d: %v until all processes know each other\n", seed+1, took)
		}
	}
	fmt.Printf("%d of %d starts took over %v\n", count, *seeds, late)
	if count > 0 {
		os.Exit(1)
	}
}
