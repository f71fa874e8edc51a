package admit

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
)

// AnnouncementTTL is how long an endpoint counts as present after its last announcement. Endpoints
// announce themselves every second, so two announcements may be lost.
const AnnouncementTTL = 3 * time.Second

// Announcement is the state of an endpoint, as announced by itself.
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

// WithCapacity returns a copy with the slots and connections of the endpoint and the resources of its
// instance.
func (ann Announcement) WithCapacity(slots, connections int, capacity resource.Vector) Announcement {
	ann.slots, ann.connections, ann.capacity = slots, connections, capacity
	return ann
}

// WithLeaving returns a copy that says whether the endpoint is leaving.
func (ann Announcement) WithLeaving(leaving bool) Announcement {
	ann.leaving = leaving
	return ann
}

// Service returns the service of the endpoint.
func (ann Announcement) Service() fleet.Service { return ann.service }

// Address returns the network address at which the endpoint accepts requests.
func (ann Announcement) Address() string { return ann.address }

// Incarnation returns the incarnation of the endpoint process.
func (ann Announcement) Incarnation() fleet.Incarnation { return ann.incarnation }

// Leaving reports whether the endpoint is leaving and accepts no more requests.
func (ann Announcement) Leaving() bool { return ann.leaving }

// Slots returns the number of requests that the endpoint serves at a time.
func (ann Announcement) Slots() int { return ann.slots }

// Connections returns the number of connections that the endpoint accepts.
func (ann Announcement) Connections() int { return ann.connections }

// Capacity returns the resources of the instance. It is only a hint: package ledger uses the worker's
// report instead.
func (ann Announcement) Capacity() resource.Vector { return ann.capacity }

// Endpoint tracks the presence of the endpoint on the same instance. The zero value is an endpoint
// that has never announced itself.
type Endpoint struct {
	last       Announcement
	recordedAt time.Time
}

// Record records an announcement and reports whether it was accepted. It rejects announcements of
// older incarnations. It also rejects those that are not leaving after the same incarnation announced
// that it leaves, because a delayed announcement must not undo that.
func (end *Endpoint) Record(ann Announcement, now time.Time) bool {
	if ann.incarnation < end.last.incarnation {
		return false
	}
	if ann.incarnation == end.last.incarnation && end.last.leaving && !ann.leaving {
		return false
	}
	end.last, end.recordedAt = ann, now
	return true
}

// Last returns the latest accepted announcement.
func (end Endpoint) Last() Announcement { return end.last }

// Present reports whether the endpoint announced itself within AnnouncementTTL.
func (end Endpoint) Present(now time.Time) bool {
	return !end.recordedAt.IsZero() && now.Sub(end.recordedAt) < AnnouncementTTL
}

// Admits reports whether the endpoint accepts a request for the service. If not, it returns the
// outcome of the request.
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
