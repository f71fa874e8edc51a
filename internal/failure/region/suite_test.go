// Package region proves the invariants when parts of the network fail: a relay
// stands between all processes of each deployment.
package region_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestRegion(t *testing.T) {
	specs.Run(t, "region")
}

// The ports of these fleets, 13000 to 16303, are below those of internal/failure.
var _ = scene.Suite("../../..", -8000, -6000)
