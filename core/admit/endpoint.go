package admit

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
)

// AnnounceLimit is how long an endpoint counts as present after its last
// announcement. Endpoints announce every second, so two may be lost.
const AnnouncementTTL = 3 * time.Second

// Announcement is what an endpoint says about itself.
type Announcement struct {
	service     fleet.Service
	address     string
	incarnation fleet.Incarnation
	leaving     bool
	slots       int
	connections int
	capacity    resource.Vector
}

// NewAnnouncement returns the announcement of a ready endpoint.
func NewAnnouncement(svc fleet.Service, addr string, inc fleet.Incarnation) Announcement {
	return Announcement{service: svc, address: addr, incarnation: inc}
}

// WithCapacity returns the announcement with the size of the endpoint and of its instance.
func (ann Announcement) WithCapacity(slots, connections int, capacity resource.Vector) Announcement {
	ann.slots, ann.connections, ann.capacity = slots, connections, capacity
	return ann
}

// WithLeaving returns the announcement of an endpoint that leaves.
func (ann Announcement) WithLeaving(leaving bool) Announcement {
	ann.leaving = leaving
	return ann
}

// Service returns the service of the endpoint.
func (ann Announcement) Service() fleet.Service { return ann.service }

// Address returns where the endpoint accepts requests.
func (ann Announcement) Address() string { return ann.address }

// Incarnation returns the incarnation of the endpoint process.
func (ann Announcement) Incarnation() fleet.Incarnation { return ann.incarnation }

// Leaving reports whether the endpoint asked for no more requests.
func (ann Announcement) Leaving() bool { return ann.leaving }

// Slots returns the number of requests that the endpoint serves at a time.
func (ann Announcement) Slots() int { return ann.slots }

// Connections returns the number of connections that the endpoint accepts.
func (ann Announcement) Connections() int { return ann.connections }

// Capacity returns the resources of the instance. It is a hint for others: the
// ledger believes the worker's report only.
func (ann Announcement) Capacity() resource.Vector { return ann.capacity }

// Endpoint is the presence of the co-located endpoint. The zero value is an
// endpoint that never announced itself.
type Endpoint struct {
	last  Announcement
	heard time.Time
}

// Hear records an announcement and reports whether it was accepted. An older
// incarnation is refused, and so is a return to ready after the same
// incarnation announced that it leaves: a delayed announcement must not undo a leave.
func (end *Endpoint) Record(ann Announcement, now time.Time) bool {
	if ann.incarnation < end.last.incarnation {
		return false
	}
	if ann.incarnation == end.last.incarnation && end.last.leaving && !ann.leaving {
		return false
	}
	end.last, end.heard = ann, now
	return true
}

// Last returns the latest accepted announcement.
func (end Endpoint) Last() Announcement { return end.last }

// Present reports whether the endpoint announced itself recently enough.
func (end Endpoint) Present(now time.Time) bool {
	return !end.heard.IsZero() && now.Sub(end.heard) < AnnouncementTTL
}

// Admits reports whether a request for the service may be given to the endpoint,
// and if not, why.
func (end Endpoint) Admits(svc fleet.Service, now time.Time) (outcome.Outcome, bool) {
	switch {
	case !end.Present(now):
		return outcome.NotRun(outcome.ReasonNoEndpoint, "the endpoint does not announce itself"), false
	case end.last.service != svc:
		return outcome.NotRun(outcome.ReasonNoEndpoint, "the endpoint serves "+string(end.last.service)), false
	case end.last.leaving:
		return outcome.NotRun(outcome.ReasonLeaving, "the endpoint is leaving"), false
	}
	return outcome.Outcome{}, true
}
