package peer

import "time"

// Timing of connections.
const (
	PingPeriod   = 250 * time.Millisecond // while calls are in flight
	SilenceLimit = time.Second
	DialTimeout  = time.Second
	// IdlePingPeriod is the pause between pings of a connection without calls in a
	// pool that keeps warm, so that a call rarely meets a connection that went silent before it.
	IdlePingPeriod = 2 * time.Second
	// IdleLimit closes unused connections well before a middlebox drops their state.
	IdleLimit = 15 * time.Second
)

// action is what to do with a connection.
type action int

const (
	actNone action = iota
	actPing
	actSilent // close: nothing arrives
	actUnused // close: not needed
)

// liveness decides when one connection is pinged or closed. The zero value is a new connection that is pinged during calls only.
type liveness struct {
	warm    bool      // ping also between calls
	askedAt time.Time // since when an answer is due, zero when none is
}

// pause returns the time until the next call of decide is due, unless a call on the
// connection takes longer than PingPeriod before. An idle connection is not checked
// more often, because an agent has one to the owner of each of its tasks.
func (lvn *liveness) pause(now time.Time, busy bool, lastUse, lastRead time.Time) time.Duration {
	if busy || !lvn.askedAt.IsZero() {
		return PingPeriod
	}
	next := lastUse.Add(IdleLimit + time.Millisecond)
	if ping := lastRead.Add(IdlePingPeriod); lvn.warm && ping.Before(next) {
		next = ping
	}
	return max(next.Sub(now), PingPeriod)
}

// decide returns the action that is due. It is called after each pause and when a call takes longer
// than PingPeriod. The arguments tell whether calls are in flight, when the last call began and when
// the last byte arrived.
func (lvn *liveness) decide(now time.Time, busy bool, lastUse, lastRead time.Time) action {
	if lastRead.After(lvn.askedAt) {
		lvn.askedAt = time.Time{}
	}
	if !lvn.askedAt.IsZero() && now.Sub(lvn.askedAt) > SilenceLimit {
		return actSilent
	}
	if !busy && now.Sub(lastUse) > IdleLimit {
		return actUnused
	}
	if !busy && lvn.askedAt.IsZero() && (!lvn.warm || now.Sub(lastRead) < IdlePingPeriod) {
		return actNone
	}
	if lvn.askedAt.IsZero() {
		lvn.askedAt = now
	}
	return actPing
}
