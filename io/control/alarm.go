package control

import "time"

// alarmRetry is the pause after which an alarm that found the queue full tries again.
const alarmRetry = 50 * time.Millisecond

// Poster queues an event if there is room and reports whether it did. A Loop is one.
type Poster[S any] interface {
	TryPost(evt Event[S]) bool
}

// Alarm posts an event at the earliest time given to Arm. A process with
// nothing to do wakes up for its next deadline only, not at each tick of a fixed
// period. Only the control goroutine may call Arm.
type Alarm[S any] struct {
	loop  Poster[S]
	event Func[S]
	timer *time.Timer
	at    time.Time // when it goes off, zero when it is not armed
}

// NewAlarm returns an alarm that is not armed. The event has to arm it again.
func NewAlarm[S any](lop Poster[S], evt Func[S]) *Alarm[S] {
	alm := &Alarm[S]{loop: lop, event: evt}
	alm.timer = time.AfterFunc(time.Hour, alm.fire)
	alm.timer.Stop()
	return alm
}

// Arm makes the alarm go off at a time unless it does so earlier.
func (alm *Alarm[S]) Arm(now, at time.Time) {
	if !alm.at.IsZero() && !at.Before(alm.at) {
		return
	}
	alm.at = at
	alm.timer.Reset(max(at.Sub(now), 0))
}

// Stop disarms the alarm. An event that is already queued still runs.
func (alm *Alarm[S]) Stop() { alm.timer.Stop() }

func (alm *Alarm[S]) fire() {
	if !alm.loop.TryPost(Func[S](alm.apply)) {
		alm.timer.Reset(alarmRetry)
	}
}

func (alm *Alarm[S]) apply(sta *S, now time.Time) {
	alm.at = time.Time{}
	alm.event(sta, now)
}
