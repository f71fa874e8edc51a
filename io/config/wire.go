package config

// ServiceName is the name under which the service is registered on the peer server.
const ServiceName = "Config"

// Methods of the service.
const (
	methodPull    = ServiceName + ".Pull"
	methodNudge   = ServiceName + ".Nudge"
	methodObjects = ServiceName + ".Objects"
	methodHeads   = ServiceName + ".Heads"
)

// PullArgs asks for the tickets after the caller's head.
type PullArgs struct {
	Instance string
	Have     uint64
}

// PullReply carries tickets in order and the freshness of the answering node.
type PullReply struct {
	Head            uint64
	Confirmed       bool  // the answering node has a confirmation
	AgeMillis       int64 // of its confirmation, rounded up
	StoreDown       bool  // the latest read of a configuration reader failed
	StoreDownMillis int64
	Behind          bool // the caller is too far behind: it must load all objects
	Tickets         [][]byte
}

// NudgeArgs announces the head of the sender.
type NudgeArgs struct {
	Instance string
	Head     uint64
}

// NudgeReply is empty.
type NudgeReply struct{}

// ObjectsArgs asks for a page of objects after a position.
type ObjectsArgs struct{ After string }

// ObjectsReply carries a page of objects; Next is empty at the end.
type ObjectsReply struct {
	Head    uint64
	Records [][]byte
	Next    string
}

// HeadsArgs asks for the heads of the nodes that pull from a node.
type HeadsArgs struct{}

// HeadsReply lists heads.
type HeadsReply struct{ Heads []HeadSeen }

// HeadSeen is the head that a node stated when it last pulled.
type HeadSeen struct {
	Instance  string `json:"instance"`
	Head      uint64 `json:"head"`
	AgeMillis int64  `json:"ageMillis"`
}
