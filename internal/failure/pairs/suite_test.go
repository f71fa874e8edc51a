// Package pairs proves the invariants under two faults at once, with a relay
// between all processes of each deployment.
package pairs_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestPairs(t *testing.T) {
	specs.Run(t, "pairs")
}

// The ports of these fleets, 18800 to 20303 with the settings of sen-vang, are those
// of no other package.
var _ = scene.Suite("../../..", -2200, -1000)
