package message

// MaxList bounds the jobs of one list.
const MaxList = 1000

// ListArgs asks for the latest jobs of one partition. An empty field means all.
type ListArgs struct {
	Partition int
	Workspace string
	Team      string
	Class     string
	State     string
	Limit     int
}

// ListReply lists jobs, the latest one first.
type ListReply struct {
	NotOwner     bool
	OwnerAddress string
	Jobs         []JobSummary
}

// JobList is the answer of an entry about the latest jobs of all partitions.
type JobList struct {
	Jobs []JobSummary `json:"jobs"`
	// MissingPartitions are those whose owner did not answer.
	MissingPartitions []int `json:"missingPartitions,omitempty"`
}

// JobSummary describes a job without its tasks.
type JobSummary struct {
	JobID       string `json:"jobID"`
	Workspace   string `json:"workspace"`
	Team        string `json:"team"`
	Class       string `json:"class"`
	Kind        string `json:"kind"`
	Urgent      bool   `json:"urgent,omitempty"`
	State       string `json:"state"`
	Tasks       int    `json:"tasks"`
	Ended       int    `json:"endedTasks"`
	Parked      int    `json:"parkedTasks,omitempty"`
	Evictions   int    `json:"evictions,omitempty"`
	SubmittedAt int64  `json:"submittedUnixMillis"`
	EndedAt     int64  `json:"endedUnixMillis,omitempty"`
	DeadlineAt  int64  `json:"deadlineUnixMillis,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// SummarizeArgs asks for a report of one partition.
type SummarizeArgs struct {
	Partition   int
	SinceMillis int64 // jobs that ended before are left out
}

// SummarizeReply is the report of one partition; see core/report.
type SummarizeReply struct {
	NotOwner     bool
	OwnerAddress string
	Rows         []ReportRow
	Concerns     []Concern
	Unnamed      int
}

// Report is the answer of an entry about the jobs of all partitions.
type Report struct {
	SinceMillis int64       `json:"sinceUnixMillis"`
	Rows        []ReportRow `json:"rows"`
	Concerns    []Concern   `json:"concerns"`
	// Unnamed is the number of jobs that need attention and are not among the concerns.
	Unnamed int `json:"unnamed,omitempty"`
	// MissingPartitions are those whose owner did not answer.
	MissingPartitions []int `json:"missingPartitions,omitempty"`
}

// ReportRow counts the jobs of a team and a class.
type ReportRow struct {
	Team      string `json:"team"`
	Class     string `json:"class"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Parked    int    `json:"parked"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Late      int    `json:"late"`
	Evictions int    `json:"evictions"`
}

// Concern is a job that needs attention, and why: parked, overdue or endedLate.
type Concern struct {
	Why          string `json:"why"`
	JobID        string `json:"jobID"`
	Workspace    string `json:"workspace"`
	Team         string `json:"team"`
	Class        string `json:"class"`
	SubmittedAt  int64  `json:"submittedUnixMillis"`
	BehindMillis int64  `json:"behindMillis,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
