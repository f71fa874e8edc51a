// Package failure tests the invariants of the design page with real processes
// under injected faults. Each spec starts its own deployment on loopback, and the
// specs run sequentially. They check what the stand-ins of the platform recorded.
package failure_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestFailure(t *testing.T) {
	specs.Run(t, "failure")
}

// The offsets avoid the ports of the demo, the ephemeral ports, which begin at 32768,
// and the ports from 29000, which benchmarks use. The highest port in the settings
// is 22303.
var _ = scene.Suite("../..", 2000, 6000)
