package agentnode

import (
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/outcome"
	"jacinthpost/core/ticket"
)

// Configuration is the present configuration of the process.
type Configuration interface {
	// State returns the latest known configuration.
	State() ticket.State
	// Freshness tells how recently it was confirmed.
	Freshness() ticket.Freshness
}

// Owners finds the owners of partitions.
type Owners interface {
	// Address returns where the owner of a partition is believed to be.
	Address(partition int) (string, bool)
}

// site answers the questions of the request and task decisions from the
// configuration and the location of this instance.
type site struct {
	instance   fleet.InstanceID
	location   fleet.Location
	partitions int
	config     Configuration
	owners     Owners
}

// RequestsAllowed implements intake.Site.
func (sit *site) RequestsAllowed(_ fleet.Service, now time.Time) (outcome.Outcome, bool) {
	if !sit.config.Freshness().MayAdmitRequests(now) {
		return outcome.NotRun(outcome.ReasonStaleConfig, "the configuration is not confirmed and no reader reports that the store is down"), false
	}
	return sit.inService()
}

// StartsAllowed implements runner.Site.
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

// Limits implements intake.Site. The admission ticket of a service bounds the
// outstanding requests; the limit a customer may use is the rate of the ticket,
// as requests outstanding at one instance.
func (sit *site) Limits(svc fleet.Service, _ fleet.Customer) admit.Limits {
	adm, found := sit.config.State().Admission(svc)
	if !found {
		return admit.Limits{}
	}
	return admit.NewLimits(adm.MaxQueue(), int(adm.CustomerRate()))
}

// Partition implements runner.Site.
func (sit *site) Partition(name string) int { return job.PartitionOf(job.ID(name), sit.partitions) }

// Owner implements runner.Site.
func (sit *site) Owner(partition int) (string, bool) { return sit.owners.Address(partition) }
