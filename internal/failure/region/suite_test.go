// Package region tests the invariants under network partitions. The processes of each
// deployment are connected through a relay.
package region_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestRegion(t *testing.T) {
	specs.Run(t, "region")
}

// These fleets use the ports 13000 to 16303, below those of internal/failure.
var _ = scene.Suite("../../..", -8000, -6000)
