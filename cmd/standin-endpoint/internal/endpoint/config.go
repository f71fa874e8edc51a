package endpoint

import (
	"time"

	"jacinthpost/cmd/standin-endpoint/internal/tasks"
)

// Config describes an instance.
type Config struct {
	id          string
	service     string
	slots       int
	connections int
	serviceTime time.Duration
	worker      tasks.Config
}

// NewConfig returns an instance whose endpoint answers at once and has no limit.
func NewConfig(id, service string, wrk tasks.Config) Config {
	return Config{id: id, service: service, worker: wrk}
}

// WithLimits sets the requests that run at full speed and the connections announced.
func (cfg Config) WithLimits(slots, connections int) Config {
	cfg.slots, cfg.connections = slots, connections
	return cfg
}

// WithServiceTime sets the time of a request without interference.
func (cfg Config) WithServiceTime(dur time.Duration) Config {
	cfg.serviceTime = dur
	return cfg
}
