// Package failure proves the invariants of the design page with real processes
// under faults. Each spec starts a deployment of its own on loopback; the specs
// run one after another. What counts is what the stand-ins recorded.
package failure_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestFailure(t *testing.T) {
	specs.Run(t, "failure")
}

// The offsets keep clear of the demo and stay below the ephemeral ports, which
// begin at 32768, and of the ports from 29000 that other measurements use: the
// highest port of the settings is 22303.
var _ = scene.Suite("../..", 2000, 6000)
