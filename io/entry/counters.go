package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

var (
	mismatchedReplies = metrics.GetOrCreateCounter("jacinthpost_request_mismatched_replies_total")
	resolves          = metrics.GetOrCreateCounter("jacinthpost_request_resolves_total")
	retriesRefused    = metrics.GetOrCreateCounter("jacinthpost_request_retries_refused_total")
	keyedReplays      = metrics.GetOrCreateCounter("jacinthpost_request_keyed_replays_total")
	keyedTakeovers    = metrics.GetOrCreateCounter("jacinthpost_request_keyed_takeovers_total")
)

var tierNames = [fleet.TierCount]string{"dataCentre", "region", "far"}

func countRequest(svc fleet.Service, out outcome.Outcome, took time.Duration) {
	name := fmt.Sprintf(`{service=%q,outcome=%q,reason=%q}`, string(svc), out.Kind().String(), string(out.Reason()))
	metrics.GetOrCreateCounter("jacinthpost_request_ends_total" + name).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("jacinthpost_request_seconds{service=%q}", string(svc))).Update(took.Seconds())
}

func countTier(tier fleet.Tier) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jacinthpost_request_attempts_total{tier=%q}", tierNames[tier])).Inc()
}
