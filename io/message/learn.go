package message

// Bounds of one LearnArgs. Owners ignore entries beyond them.
const (
	MaxPairings = 16
	MaxSizes    = 16
)

// Pairing is new evidence about how tasks of a class slow down a service.
type Pairing struct {
	Class  string
	Cost   float64 // slowdown by tasks that use the whole instance
	Weight float64 // of the measurements since the last message
}

// TaskSize tells that an agent has changed the amounts committed to a running task.
type TaskSize struct {
	Ref       TaskRef
	Committed Resources
}

// LearnArgs tells an owner what an agent has learned since its last message. It
// may be repeated: evidence then counts twice, which its bounded weight permits.
type LearnArgs struct {
	Instance string
	Service  string // of the endpoint on the instance
	Pairings []Pairing
	Idle     []string // classes that ran beside the service while it got next to no requests
	Sizes    []TaskSize
}

// LearnReply is empty.
type LearnReply struct{}
