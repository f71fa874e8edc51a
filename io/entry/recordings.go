package entry

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// recordings counts the answers that are being written to their rows. The zero value works.
type recordings struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when the count reaches zero, nil if nobody waits
}

func (rcs *recordings) begin() {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	rcs.count++
}

func (rcs *recordings) end() {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	rcs.count--
	if rcs.count == 0 && rcs.idle != nil {
		close(rcs.idle)
		rcs.idle = nil
	}
}

// wait waits until no answer is being written.
func (rcs *recordings) wait(ctx context.Context) error {
	idle := rcs.awaitIdle()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait until the answers to keyed requests are recorded")
	}
}

func (rcs *recordings) awaitIdle() <-chan struct{} {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	if rcs.idle == nil {
		rcs.idle = make(chan struct{})
	}
	idle := rcs.idle
	if rcs.count == 0 {
		close(idle)
		rcs.idle = nil
	}
	return idle
}
