// Package rate limits the events per second of many keys with bounded memory.
//
// Each key has a token bucket, represented by the time at which the bucket is full again. If the
// number of keys exceeds the limit, the least recently used bucket is evicted. A key that comes back
// after its eviction starts with a full bucket, so that at most one burst too many passes. The rate
// is an argument of each call and may change from one event to the next.
//
// A Limiter must be used from one goroutine at a time. The zero value is ready to use and has
// buckets for DefaultMaxKeys keys.
package rate

import (
	"container/list"
	"time"
)

// DefaultMaxKeys is the maximum number of keys of a zero Limiter.
const DefaultMaxKeys = 4096

// Limiter is a rate limiter with one token bucket per key.
type Limiter[K comparable] struct {
	maxKeys int
	buckets map[K]*list.Element
	order   list.List // of *bucket[K], least recently used first
}

type bucket[K comparable] struct {
	key    K
	fullAt time.Time
}

// New returns a limiter with buckets for at most maxKeys keys, at least one.
func New[K comparable](maxKeys int) *Limiter[K] { return &Limiter[K]{maxKeys: max(1, maxKeys)} }

// Len returns the number of keys that have a bucket.
func (lim *Limiter[K]) Len() int { return len(lim.buckets) }

// Allow takes one token from the bucket of a key and reports whether there was one. If not, it also
// returns the time until there will be one. The bucket is refilled with perSecond tokens per second
// and holds the tokens of one second, but at least one token. A rate that is not positive sets no
// limit.
func (lim *Limiter[K]) Allow(key K, perSecond float64, now time.Time) (wait time.Duration, allowed bool) {
	if perSecond <= 0 {
		return 0, true
	}
	buc := lim.bucket(key)
	token := time.Duration(float64(time.Second) / perSecond)
	burst := max(time.Second, token)
	if buc.fullAt.Before(now) {
		buc.fullAt = now
	}
	next := buc.fullAt.Add(token)
	if excess := next.Sub(now) - burst; excess > 0 {
		return excess, false
	}
	buc.fullAt = next
	return 0, true
}

// bucket returns the bucket of a key and marks it as the most recently used. It adds one that is
// full if the key has none.
func (lim *Limiter[K]) bucket(key K) *bucket[K] {
	if elm, found := lim.buckets[key]; found {
		lim.order.MoveToBack(elm)
		return elm.Value.(*bucket[K])
	}
	if lim.buckets == nil {
		lim.buckets = make(map[K]*list.Element)
	}
	limit := lim.maxKeys
	if limit == 0 {
		limit = DefaultMaxKeys
	}
	buc := &bucket[K]{key: key}
	if len(lim.buckets) >= limit {
		elm := lim.order.Front()
		delete(lim.buckets, elm.Value.(*bucket[K]).key)
		lim.order.Remove(elm)
	}
	lim.buckets[key] = lim.order.PushBack(buc)
	return buc
}
