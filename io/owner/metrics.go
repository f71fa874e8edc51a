package owner

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/job"
)

var (
	takeovers       = metrics.NewCounter("jacinthpost_owner_takeovers_total")
	releases        = metrics.NewCounter("jacinthpost_owner_releases_total")
	rowWrites       = metrics.NewCounter("jacinthpost_owner_row_writes_total")
	logWrites       = metrics.NewCounter("jacinthpost_owner_log_writes_total")
	logRecords      = metrics.NewCounter("jacinthpost_owner_log_records_total")
	snapshots       = metrics.NewCounter("jacinthpost_owner_snapshots_total")
	storeErrors     = metrics.NewCounter("jacinthpost_owner_store_errors_total")
	callsDropped    = metrics.NewCounter("jacinthpost_owner_calls_dropped_total")
	offersSent      = metrics.NewCounter("jacinthpost_owner_offers_sent_total")
	offersFailed    = metrics.NewCounter("jacinthpost_owner_offers_failed_total")
	offersRefused   = metrics.NewCounter("jacinthpost_owner_offers_refused_total")
	claimsGranted   = metrics.NewCounter("jacinthpost_owner_claims_granted_total")
	claimsRefused   = metrics.NewCounter("jacinthpost_owner_claims_refused_total")
	leasesRenewed   = metrics.NewCounter("jacinthpost_owner_leases_renewed_total")
	setsDisagreed   = metrics.NewCounter("jacinthpost_owner_sets_disagreed_total")
	endsRecorded    = metrics.NewCounter("jacinthpost_owner_ends_acknowledged_total")
	useReports      = metrics.NewCounter("jacinthpost_owner_use_reports_total")
	roomsAsked      = metrics.NewCounter("jacinthpost_owner_room_requests_total")
	roomsMade       = metrics.NewCounter("jacinthpost_owner_room_made_total")
	evictions       = metrics.NewCounter("jacinthpost_owner_evictions_total")
	jobsLate        = metrics.NewCounter("jacinthpost_owner_jobs_late_total")
	pairingsLearned = metrics.NewCounter("jacinthpost_owner_pairings_learned_total")
	notOwner        = metrics.NewCounter("jacinthpost_owner_not_owner_total")
)

// Gauges. The control goroutine publishes the counts; a scrape only reads them.
var (
	partitionsOwned atomic.Int64
	tasksByState    [job.Parked + 1]atomic.Int64
)

func init() {
	metrics.NewGauge("jacinthpost_owner_partitions", func() float64 { return float64(partitionsOwned.Load()) })
	for sta := range tasksByState {
		name := `jacinthpost_owner_tasks{state="` + job.State(sta).String() + `"}`
		metrics.NewGauge(name, func() float64 { return float64(tasksByState[sta].Load()) })
	}
}

// publishMetrics updates the gauges and counters of the partitions served now.
func (sta *state[P]) publishMetrics(now time.Time) {
	owned, sum := int64(0), [job.Parked + 1]int64{}
	for _, slt := range sta.slots {
		if !slt.serves(now) {
			continue
		}
		owned++
		late, evicted := slt.tenure.part.LateJobs(), slt.tenure.part.Evicted()
		jobsLate.Add(late - slt.tenure.lateCounted)
		evictions.Add(evicted - slt.tenure.evictedCounted)
		slt.tenure.lateCounted, slt.tenure.evictedCounted = late, evicted
		for pos, num := range slt.tenure.part.Counts() {
			sum[pos] += int64(num)
		}
	}
	partitionsOwned.Store(owned)
	for pos := range sum {
		tasksByState[pos].Store(sum[pos])
	}
}

// tenuresEnded returns the counter of ended tenures for a reason.
func tenuresEnded(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_owner_tenures_ended_total{reason="` + reason + `"}`)
}
