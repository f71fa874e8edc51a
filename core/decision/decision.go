// Package decision names the decisions that processes write to their logs, one line
// each, so that writers and readers of logs share one set of names.
package decision

// Kind is what was decided or noticed. It is the message of the log line.
type Kind string

// Decisions on jobs, at the entries.
const (
	JobHandedIn    Kind = "jobHandedIn"
	JobRefused     Kind = "jobRefused"
	CancelHandedIn Kind = "cancelHandedIn"
)

// Decisions on jobs and instances, at the owner of the jobs.
const (
	JobSubmitted      Kind = "jobSubmitted"
	JobCancelled      Kind = "jobCancelled"
	JobFinished       Kind = "jobFinished"
	QueueRefuses      Kind = "queueRefuses"
	QueueAccepts      Kind = "queueAccepts"
	RunAssigned       Kind = "runAssigned"
	RunEnded          Kind = "runEnded"
	RunStopped        Kind = "runStopped"
	InstanceHeard     Kind = "instanceHeard"
	InstanceLost      Kind = "instanceLost"
	InstanceSuspended Kind = "instanceSuspended"
	UpkeepRequested   Kind = "upkeepRequested"
	WaveTold          Kind = "waveTold"
)

// Decisions on runs, at the agent of the instance.
const (
	RunStarted      Kind = "runStarted"
	CallNotAccepted Kind = "workerCallNotAccepted"
	FillingPaused   Kind = "fillingPaused"
	FillingResumed  Kind = "fillingResumed"
)

// What a process believes of others.
const (
	ProcessStarted        Kind = "processStarted"
	ProcessLeaves         Kind = "processLeaves"
	ProcessStopped        Kind = "processStopped"
	OwnerElected          Kind = "ownerElected"
	OwnershipEnded        Kind = "ownershipEnded"
	OwnerLost             Kind = "ownerLost"
	OwnerRegained         Kind = "ownerRegained"
	WorkerAnnounced       Kind = "workerAnnounced"
	WorkerLeft            Kind = "workerLeft"
	WorkerAnswersChanged  Kind = "workerAnswersChanged"
	ConfigurationApplied  Kind = "configurationApplied"
	DataCentresOutChanged Kind = "dataCentresOutChanged"
	FeedLost              Kind = "feedLost"
	FeedInterrupted       Kind = "feedInterrupted"
	FeedRegained          Kind = "feedRegained"
	SettingsReloaded      Kind = "settingsReloaded"
)

// Keys of the fields of a line that readers use.
const (
	KeyTime     = "time"
	KeyMessage  = "message"
	KeyNode     = "node"
	KeyJob      = "job"
	KeyTask     = "task"
	KeyRun      = "run"
	KeyInstance = "instance"
	KeyDetail   = "detail"
	KeyOutcome  = "outcome"
	KeyReason   = "reason"
	KeyQueue    = "queue"
	KeyTook     = "took"
)
