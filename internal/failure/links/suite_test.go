// Package links tests the invariants when established connections stop delivering bytes.
// The processes of each deployment are connected through a relay.
package links_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestLinks(t *testing.T) {
	specs.Run(t, "links")
}

// These fleets use the ports 16400 to 18703 with the settings of sen-vang, which no other
// package uses.
var _ = scene.Suite("../../..", -4600, -2600)
