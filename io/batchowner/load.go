package batchowner

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/admission"
	"jacinthpost/core/decision"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/jobaccess"
)

const (
	loadPeriod = 300 * time.Millisecond // between two computations of the load
	// republishInterval is well below the times after which entries ignore the published numbers and refusals.
	republishInterval    = min(jobaccess.RefusalValidity, jobaccess.PendingValidity) / 2
	retryAfterResolution = 500 * time.Millisecond // smaller changes of the retry times are not stored
)

// loadPublisher computes the load of the partition and decides when to publish it to the entries.
type loadPublisher struct {
	data       []byte                   // as last stored
	storedAt   time.Time                // when data was stored
	computedAt time.Time                // when the load was last computed
	refusing   map[string]time.Duration // retry times of the queues that refuse jobs
}

// stored records that data was stored at the given time.
func (pub *loadPublisher) stored(data []byte, at time.Time) { pub.data, pub.storedAt = data, at }

// next returns the encoded load to publish, nil if the stored one is still valid. An unchanged load is stored
// again every republishInterval, because entries ignore an old one.
func (pub *loadPublisher) next(sch *Scheduler, now time.Time, log *zap.Logger) []byte {
	if now.Sub(pub.computedAt) < loadPeriod {
		return nil
	}
	pub.computedAt = now
	lod := batchstore.Load{Pending: sch.Pending(), RetryAfterMillis: make(map[string]int64)}
	fcts := sch.Forecasts(now)
	refusing := admission.Refusals(admission.RefuseLate{}, fcts)
	for queue, after := range refusing {
		lod.RetryAfterMillis[queue] = after.Round(retryAfterResolution).Milliseconds()
	}
	pub.logChanges(refusing, fcts, log)
	for svc, sizes := range sch.WorkerSizes(now) {
		lod.SetSizes(svc, sizes)
	}
	data := batchstore.Encode(lod)
	if bytes.Equal(data, pub.data) && now.Sub(pub.storedAt) < republishInterval {
		return nil
	}
	return data
}

// logChanges logs the queues that begin to refuse jobs and those that accept jobs again, each with its
// forecast.
func (pub *loadPublisher) logChanges(refusing map[string]time.Duration, fcts map[string]admission.Forecast, log *zap.Logger) {
	for queue, after := range refusing {
		if _, already := pub.refusing[queue]; !already {
			log.Info(string(decision.QueueRefuses), append(forecastFields(queue, fcts[queue]), zap.Duration("retryAfter", after))...)
		}
	}
	for queue := range pub.refusing {
		if _, still := refusing[queue]; !still {
			log.Info(string(decision.QueueAccepts), forecastFields(queue, fcts[queue])...)
		}
	}
	pub.refusing = refusing
}

// forecastFields returns the log fields of a forecast, from which refusals are computed. The forecast
// is zero for a queue without unfinished jobs.
func forecastFields(queue string, fct admission.Forecast) []zap.Field {
	return []zap.Field{
		zap.String("queue", queue), zap.Duration("wait", fct.Wait), zap.Duration("chain", fct.JobDuration),
		zap.Duration("objective", fct.Objective), zap.Duration("blocked", fct.Blocked),
	}
}
