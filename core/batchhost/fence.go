package batchhost

import "time"

// firstFenceStep is by how much the first refusal of a token raises it, in milliseconds of a worker's clock. The
// step doubles with each further refusal, so that a token that is too low by days is overtaken within seconds.
const firstFenceStep = 1000

// Fence chooses the fencing tokens of the calls to the worker at an address. A worker does nothing for a call with
// a lower token than the highest one that it has seen. The tokens therefore increase from each incarnation of the
// worker to the next and from each process of the agent to the next: after its first call to an incarnation, no
// call that was meant for a former incarnation, or was made by a former process, takes effect there.
//
// The zero value is ready to use.
type Fence struct {
	token uint64
	step  uint64
}

// Token returns the token for the next call.
func (fnc *Fence) Token() uint64 { return fnc.token }

// Begin chooses the token for an incarnation that began at bornAt, in milliseconds since 1970 or zero if unknown, and
// whose clock shows clk. The clock starts again with each incarnation, so it alone orders only the processes
// that call one incarnation.
func (fnc *Fence) Begin(bornAt int64, clk time.Duration) {
	fnc.token = max(fnc.token+1, uint64(bornAt+clk.Milliseconds()))
	fnc.step = firstFenceStep
}

// Refused raises the token after the worker has refused a call with it. The worker has then seen a higher one
// of a former process, which can happen when the time of day was set back between two incarnations.
func (fnc *Fence) Refused(token uint64) {
	if token != fnc.token {
		return
	}
	fnc.token += fnc.step
	fnc.step *= 2
}
