package message

// TeamUse is what a team holds through one owner process. Amounts that are zero
// are left out, because an empty structure takes bytes too.
type TeamUse struct {
	Team    string
	Amounts Resources
	Kept    bool       // Bound and Limit are as in the last report and its answer, and left out
	Bound   *Resources // in the fleet, nil for a team that may borrow
	Limit   *Resources // that the process keeps to
	Want    *Resources // of the first waiting task
}

// ReportUseArgs reports to the owner of partition 0 what teams hold: what has
// changed, or everything when Complete.
type ReportUseArgs struct {
	Partition   int
	Instance    string
	Incarnation uint64
	Sequence    uint64 // of the reports of the process, from one
	Complete    bool
	Granularity *Resources // changes below it need not be told; in complete reports
	Uses        []TeamUse
}

// TeamAllotment tells an owner process about a team.
type TeamAllotment struct {
	Team      string
	Elsewhere Resources  // held through other processes
	Limit     *Resources // of a team that may not borrow, through this process
}

// ReportUseReply answers with what has changed. The next report must be complete
// unless the reports so far are known.
type ReportUseReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Known        bool
	Settled      bool
	Allotments   []TeamAllotment
}

// RoomArgs asks the owner of a partition to stop batch tasks for an urgent task
// of another owner.
type RoomArgs struct {
	Partition    int
	Task         string
	Team         string
	Class        string
	Service      string
	Need         Resources
	Within       bool // the team stays within its share
	WaitedMillis int64
}

// RoomReply names the instance on which room is made, empty for none.
type RoomReply struct {
	NotOwner     bool   // this process does not own the partition
	OwnerAddress string // the owner, if known
	Instance     string
}
