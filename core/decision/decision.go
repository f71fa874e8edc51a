// Package decision defines the messages and keys of the log lines that record decisions. The
// processes write one line for each decision, and core/history reads them.
package decision

// Kind is the message of a log line and tells what was decided or observed.
type Kind string

// Requests for jobs, written by entries. JobHandedIn and CancelHandedIn lines have the outcome of
// the request and are written at its end.
const (
	JobHandedIn    Kind = "jobHandedIn"
	JobRefused     Kind = "jobRefused"
	CancelHandedIn Kind = "cancelHandedIn"
	ClientsLimited Kind = "clientsLimited" // a limit on what clients hold acted; written once a second
)

// Decisions on jobs, runs and instances, written by the owner of the jobs.
const (
	JobSubmitted      Kind = "jobSubmitted"
	JobCancelled      Kind = "jobCancelled"
	JobFinished       Kind = "jobFinished"
	CheckpointLeftOut Kind = "checkpointLeftOut" // the state of the job would be too large with it
	JobSetAside       Kind = "jobSetAside"       // the store does not accept the state of the job
	QueueRefuses      Kind = "queueRefuses"
	QueueAccepts      Kind = "queueAccepts"
	RunAssigned       Kind = "runAssigned"
	RunAdopted        Kind = "runAdopted" // a new incarnation of the worker lists a run that was meant for the former one
	RunEnded          Kind = "runEnded"
	RunStopped        Kind = "runStopped"
	JobsRestored      Kind = "jobsRestored" // a new owner knows all jobs; the line has their totals
	InstanceHeard     Kind = "instanceHeard"
	InstanceLost      Kind = "instanceLost"
	InstanceSuspended Kind = "instanceSuspended"
	UpkeepRequested   Kind = "upkeepRequested"
	WaveTold          Kind = "waveTold"
)

// Decisions on runs, written by the agent of the instance.
const (
	RunStarted      Kind = "runStarted"
	StopConfirmed   Kind = "runStopConfirmed" // the worker has accepted the stop of a run
	CallNotAccepted Kind = "workerCallNotAccepted"
	FillingPaused   Kind = "fillingPaused"
	FillingResumed  Kind = "fillingResumed"
	TargetExceeded  Kind = "targetExceeded" // the tail latency of a serving task rose over its target
	TargetMet       Kind = "targetMet"      // it is within its target again, or the task is gone
)

// Changes of processes, owners, workers, feeds and settings, written by the process that observes
// them.
const (
	ProcessStarted        Kind = "processStarted"
	ProcessLeaves         Kind = "processLeaves"
	ProcessStopped        Kind = "processStopped"
	OwnerElected          Kind = "ownerElected"
	OwnerBusy             Kind = "ownerBusy"       // the owner had little time left, or events waited long; reason is what took most of it
	OwnerOverloaded       Kind = "ownerOverloaded" // and it knows no larger machine
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

// Keys of the fields that core/history reads.
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
	KeyImage    = "image"
)

// Keys of the fields that RunAssigned lines of best-effort tasks have in addition.
const (
	KeyPlaced       = "placed"       // why the place was accepted
	KeyUrgency      = "urgency"      // of the job
	KeyInterference = "interference" // number of serving tasks expected to exceed their targets because of the run
	KeyUnmeasured   = "unmeasured"   // number of serving images on the instance for which the effect of the image was never measured
)
