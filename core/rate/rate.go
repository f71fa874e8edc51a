// Package rate limits events per second for many keys with bounded memory.
//
// Model: one token bucket for each key, kept as the time at which the bucket is
// full again. A bucket that is full needs no memory. Beyond the bound the least
// recently used bucket is forgotten; a key that still had debts then gets at
// most one burst too many. The rate is passed with each event, so a change is
// in force with the next event.
//
// A Limiter must be used from one goroutine at a time. The zero value works and
// holds DefaultKeys keys.
package rate

import (
	"container/list"
	"time"
)

// DefaultKeys is the number of keys that the zero Limiter holds.
const DefaultMaxKeys = 4096

// Limiter holds the buckets of the keys.
type Limiter[K comparable] struct {
	maxKeys int
	buckets map[K]*list.Element
	order   list.List // of *bucket[K], the least recently used first
}

type bucket[K comparable] struct {
	key    K
	fullAt time.Time // when the bucket is full again
}

// New returns a limiter for a number of keys.
func New[K comparable](maxKeys int) *Limiter[K] { return &Limiter[K]{maxKeys: max(1, maxKeys)} }

// Len returns the number of keys held.
func (lim *Limiter[K]) Len() int { return len(lim.buckets) }

// Allow takes one token of a key whose bucket gets perSecond tokens a second
// and holds the tokens of one second, at least one. If there is none, it takes
// nothing and returns the time until there will be one.
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

// bucket returns the bucket of a key as the most recently used one.
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
