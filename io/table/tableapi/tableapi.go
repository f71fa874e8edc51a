// Package tableapi holds the JSON messages of the platform's table service and
// object store. The client and the stand-in share nothing else.
//
//	POST   /v1/transaction      TransactionRequest -> TransactionReply
//	POST   /v1/read             ReadRequest        -> RowsReply
//	POST   /v1/list             ListRequest        -> RowsReply
//	PUT    /v1/objects/{key...} bytes -> 204
//	GET    /v1/objects/{key...} bytes, or 404
//	DELETE /v1/objects/{key...} 204, also when the object is missing
//
// 429 and 503 mean that nothing was applied. Values are base64 in JSON.
package tableapi

// Paths of the service.
const (
	TransactionPath = "/v1/transaction"
	ReadPath        = "/v1/read"
	ListPath        = "/v1/list"
	ObjectsPath     = "/v1/objects/"
	FaultsPath      = "/v1/faults"
	CountersPath    = "/v1/counters"
)

// Limits of the service. A request beyond them is answered with 400.
const (
	MaxKeys         = 1000     // rows of a read, a list page or a transaction
	MaxRequestBytes = 8 << 20  // body of a table request
	MaxPageBytes    = 1 << 20  // values of a list page; the row that reaches it is the last
	MaxObjectBytes  = 32 << 20 // an object
)

// Row is a key with its value and version; version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Condition requires a row to have a version.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// TransactionRequest applies all writes if every condition holds. The ID is
// repeated in the reply, so that a client recognises the answer to another request.
type TransactionRequest struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// TransactionReply tells whether the transaction was applied.
type TransactionReply struct {
	ID        string `json:"id"`
	Committed bool   `json:"committed"`
	Version   uint64 `json:"version,omitempty"`
	Conflicts []Row  `json:"conflicts,omitempty"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest asks for at most Limit rows with the prefix and a key greater than After.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply carries rows in the order asked (read) or in key order (list).
// More tells that a list ended at the size of a page and not at its last row.
type RowsReply struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}

// Modes of the stand-in.
const (
	ModeUp     = "up"     // answers
	ModeDown   = "down"   // closes connections without an answer and applies nothing
	ModeRefuse = "refuse" // answers 503
)

// Faults are the faults of the stand-in that are switched while it runs.
type Faults struct {
	Mode              string `json:"mode"`
	LatencyMillis     int    `json:"latencyMillis"`
	LoseAnswerPercent int    `json:"loseAnswerPercent"` // applied, then closed without an answer
	WritesPerSecond   int    `json:"writesPerSecond"`   // 0 is unlimited; requests above it get 429
	ReadsPerSecond    int    `json:"readsPerSecond"`
	Seed              uint64 `json:"seed"` // chooses the lost answers
}

// Counters count the requests of the stand-in since it started.
type Counters struct {
	Reads       uint64 `json:"reads"`       // answered or lost
	Writes      uint64 `json:"writes"`      // applied, or transactions that conflicted
	Refused     uint64 `json:"refused"`     // 429, 503 and connections closed while down
	LostAnswers uint64 `json:"lostAnswers"` // applied without an answer
}
