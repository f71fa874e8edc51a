package lead

import (
	"sync"
	"time"
)

// abstention keeps the promises of a process to take nothing over. A process that can't reach the table gives them, so
// that an owner that can't reach it either knows that nobody has replaced it.
//
// The zero value has promised nothing. It is safe for concurrent use.
type abstention struct {
	mu          sync.Mutex
	unreachable bool      // the last read of the table failed
	promisedAt  time.Time // of the last promise
	attemptedAt time.Time // of a takeover whose outcome is not certain, zero if there is none
}

func (abs *abstention) recordRead(reached bool) {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	abs.unreachable = !reached
}

// promise promises to begin no takeover within Abstention.
func (abs *abstention) promise(now time.Time) bool {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	if !abs.unreachable || !abs.attemptedAt.IsZero() && now.Sub(abs.attemptedAt) < lateCommitAfter {
		return false
	}
	abs.promisedAt = now
	return true
}

// beginAttempt begins a takeover and reports whether no promise forbids it.
func (abs *abstention) beginAttempt(now time.Time) bool {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	if !abs.promisedAt.IsZero() && now.Sub(abs.promisedAt) < Abstention {
		return false
	}
	abs.attemptedAt = now
	return true
}

// endAttempt records that the outcome of the last takeover is certain.
func (abs *abstention) endAttempt() {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	abs.attemptedAt = time.Time{}
}

// quietSince returns the later one of the time at which a row was first read and the last promise.
func (abs *abstention) quietSince(firstReadAt time.Time) time.Time {
	abs.mu.Lock()
	defer abs.mu.Unlock()
	if abs.promisedAt.After(firstReadAt) {
		return abs.promisedAt
	}
	return firstReadAt
}
