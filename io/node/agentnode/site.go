package agentnode

import (
	"fmt"
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/outcome"
	"jacinthpost/core/rate"
	"jacinthpost/core/ticket"
)

// Configuration is the present configuration of the process.
type Configuration interface {
	// State returns the latest known configuration.
	State() ticket.State
	// Freshness returns how recently the configuration was confirmed.
	Freshness() ticket.Freshness
}

// Owners finds the owners of partitions.
type Owners interface {
	// Address returns the last known address of the owner of a partition.
	Address(partition int) (string, bool)
}

// serving returns the number of alive agents with a co-located endpoint of a service.
type serving func(svc fleet.Service) int

// site provides the request and task decisions with the configuration and the location of
// this instance. Only the control goroutine may call Permit and CriticalSlots.
type site struct {
	instance   fleet.InstanceID
	location   fleet.Location
	partitions int
	config     Configuration
	owners     Owners
	serving    serving
	rates      rate.Limiter[rateKey]
	slots      int // of the endpoint, as last announced
}

// rateKey identifies a workspace of a service, which has its own rate limit.
type rateKey struct {
	service   fleet.Service
	workspace fleet.Workspace
}

// RequestsAllowed implements intake.Environment.
func (sit *site) RequestsAllowed(_ fleet.Service, now time.Time) (outcome.Outcome, bool) {
	if !sit.config.Freshness().MayAdmitRequests(now) {
		return outcome.NotRun(outcome.ReasonStaleConfig, "the configuration is not confirmed and no reader reports that the store is down"), false
	}
	return sit.inService()
}

// StartsAllowed implements runner.Environment.
func (sit *site) StartsAllowed(now time.Time) (outcome.Outcome, bool) {
	if !sit.config.Freshness().MayStartTasks(now) {
		return outcome.NotRun(outcome.ReasonStaleConfig, "the configuration is not confirmed, so the data centre may be out of service"), false
	}
	return sit.inService()
}

// inService reports whether tickets allow new work on this instance.
func (sit *site) inService() (outcome.Outcome, bool) {
	sta := sit.config.State()
	switch {
	case sta.DataCentreOut(sit.location.DataCentre()):
		return outcome.NotRun(outcome.ReasonDataCentreOut, "data centre "+string(sit.location.DataCentre())+" is out of service"), false
	case sta.EndpointDraining(sit.instance):
		return outcome.NotRun(outcome.ReasonLeaving, "a ticket drains the endpoint "+string(sit.instance)), false
	default:
		return outcome.Outcome{}, true
	}
}

// Limits implements intake.Environment. The admission ticket of a service bounds the queued
// requests; running requests do not count, so the limit grows by the slots.
func (sit *site) Limits(svc fleet.Service, _ fleet.Workspace) admit.Limits {
	adm, found := sit.config.State().Admission(svc)
	if !found {
		return admit.Limits{}
	}
	return admit.NewLimits(adm.MaxQueue()+sit.slots, 0)
}

// Permit implements intake.AdmissionSettings. The rate of a workspace holds for the whole
// fleet and requests are spread evenly over the agents, so each agent enforces
// its part. A request refused here may be admitted by another agent.
func (sit *site) Permit(svc fleet.Service, wsp fleet.Workspace, now time.Time) (outcome.Outcome, bool) {
	adm, found := sit.config.State().Admission(svc)
	if !found {
		return outcome.Outcome{}, true
	}
	part := adm.WorkspaceRate() / float64(max(1, sit.serving(svc)))
	if wait, allowed := sit.rates.Allow(rateKey{service: svc, workspace: wsp}, part, now); !allowed {
		return outcome.NotRun(outcome.ReasonAdmission, fmt.Sprintf("workspace %s sends more than %g requests a second; the next one is admitted here in %v",
			wsp, adm.WorkspaceRate(), wait.Round(time.Millisecond))), false
	}
	return outcome.Outcome{}, true
}

// CriticalSlots implements intake.AdmissionSettings: it reserves the slots
// beyond the share of batch requests.
func (sit *site) CriticalSlots(svc fleet.Service, slots int) (int, bool) {
	sit.slots = slots
	adm, found := sit.config.State().Admission(svc)
	if !found {
		return 0, false
	}
	return slots - batchSlots(adm.BatchShare(), slots), true
}

// batchSlots returns the slots that batch requests may use: none at a share of
// zero, and otherwise at least one, because without a slot they would never run.
func batchSlots(share float64, slots int) int {
	if share <= 0 || slots <= 0 {
		return 0
	}
	return min(slots, max(1, int(share*float64(slots))))
}

// Partition implements runner.Environment.
func (sit *site) Partition(name string) int { return job.PartitionOf(job.ID(name), sit.partitions) }

// Owner implements runner.Environment.
func (sit *site) Owner(partition int) (string, bool) { return sit.owners.Address(partition) }
