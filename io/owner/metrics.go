package owner

import "github.com/VictoriaMetrics/metrics"

var (
	takeovers     = metrics.NewCounter("jacinthpost_owner_takeovers_total")
	releases      = metrics.NewCounter("jacinthpost_owner_releases_total")
	rowWrites     = metrics.NewCounter("jacinthpost_owner_row_writes_total")
	logWrites     = metrics.NewCounter("jacinthpost_owner_log_writes_total")
	logRecords    = metrics.NewCounter("jacinthpost_owner_log_records_total")
	snapshots     = metrics.NewCounter("jacinthpost_owner_snapshots_total")
	storeErrors   = metrics.NewCounter("jacinthpost_owner_store_errors_total")
	callsDropped  = metrics.NewCounter("jacinthpost_owner_calls_dropped_total")
	offersSent    = metrics.NewCounter("jacinthpost_owner_offers_sent_total")
	offersFailed  = metrics.NewCounter("jacinthpost_owner_offers_failed_total")
	offersRefused = metrics.NewCounter("jacinthpost_owner_offers_refused_total")
	claimsGranted = metrics.NewCounter("jacinthpost_owner_claims_granted_total")
	claimsRefused = metrics.NewCounter("jacinthpost_owner_claims_refused_total")
	leasesRenewed = metrics.NewCounter("jacinthpost_owner_leases_renewed_total")
	endsRecorded  = metrics.NewCounter("jacinthpost_owner_ends_acknowledged_total")
	notOwner      = metrics.NewCounter("jacinthpost_owner_not_owner_total")
)

// dropped counts the ends of tenures by reason.
func dropped(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_owner_tenures_ended_total{reason="` + reason + `"}`)
}
