package config

import (
	"time"

	"jacinthpost/core/ticket"
)

// View is the configuration of a node with its freshness. It is immutable and
// may be used from any goroutine; a nil view stands for a node that has no configuration yet.
type View struct {
	state     ticket.State
	freshness ticket.Freshness
	reader    bool
	downSince time.Time // start of the first of the node's failing store reads; zero if the last one succeeded
}

// State returns the configuration.
func (vie *View) State() ticket.State {
	if vie == nil {
		return ticket.State{}
	}
	return vie.state
}

// Freshness returns how recently the configuration was confirmed.
func (vie *View) Freshness() ticket.Freshness {
	if vie == nil {
		return ticket.Freshness{}
	}
	return vie.freshness
}

// Reader reports whether the node reads the store itself.
func (vie *View) Reader() bool { return vie != nil && vie.reader }

// MayStartTasks reports whether a task may start on this node now.
func (vie *View) MayStartTasks(now time.Time) bool { return vie.Freshness().MayStartTasks(now) }

// MayAdmitRequests reports whether a service request may be admitted on this node now.
func (vie *View) MayAdmitRequests(now time.Time) bool { return vie.Freshness().MayAdmitRequests(now) }

// reply answers a pull from the view. Ages are rounded up so that a
// confirmation never appears more recent than it is.
func (vie *View) reply(have ticket.Number, now time.Time) (PullReply, error) {
	rep := PullReply{Head: uint64(vie.State().Head())}
	if age, confirmed := vie.Freshness().Age(now); confirmed {
		rep.Confirmed, rep.AgeMillis = true, roundUp(age)
	}
	if vie.Reader() && !vie.downSince.IsZero() {
		rep.StoreDown, rep.StoreDownMillis = true, roundUp(now.Sub(vie.downSince))
	}
	tickets, kept := vie.State().TicketsAfter(have, ticketPage)
	rep.Behind = !kept
	size := 0
	for _, tic := range tickets {
		raw, err := EncodeTicket(tic)
		if err != nil {
			return PullReply{}, err
		}
		if size += len(raw); size > replyLimit && len(rep.Tickets) > 0 {
			break
		}
		rep.Tickets = append(rep.Tickets, raw)
	}
	return rep, nil
}

func roundUp(dur time.Duration) int64 {
	return int64((max(dur, 0) + time.Millisecond - 1) / time.Millisecond)
}
