package tasks

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Config describes a worker.
type Config struct {
	incarnation      fleet.Incarnation
	capacity         resource.Vector
	usageLag         time.Duration
	checkpointPeriod time.Duration
}

// NewConfig returns a worker that reports usage at once and takes no checkpoint by itself.
func NewConfig(inc fleet.Incarnation, capacity resource.Vector) Config {
	return Config{incarnation: inc, capacity: capacity}
}

// WithUsageLag sets the age of the usage in reports.
func (cfg Config) WithUsageLag(lag time.Duration) Config {
	cfg.usageLag = lag
	return cfg
}

// WithCheckpoints sets the time between the checkpoints that the worker takes by itself; 0 is never.
func (cfg Config) WithCheckpoints(period time.Duration) Config {
	cfg.checkpointPeriod = period
	return cfg
}

// Incarnation returns the incarnation of the worker process.
func (cfg Config) Incarnation() fleet.Incarnation { return cfg.incarnation }

// Capacity returns the resources of the instance.
func (cfg Config) Capacity() resource.Vector { return cfg.capacity }
