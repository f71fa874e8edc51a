// Package pairs tests the invariants under two simultaneous faults. The processes of each
// deployment are connected through a relay.
package pairs_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestPairs(t *testing.T) {
	specs.Run(t, "pairs")
}

// These fleets use the ports 18800 to 20303 with the settings of sen-vang, which no other
// package uses.
var _ = scene.Suite("../../..", -2200, -1000)
