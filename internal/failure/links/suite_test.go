// Package links proves the invariants when established connections go silent: a
// relay stands between all processes of each deployment.
package links_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestLinks(t *testing.T) {
	specs.Run(t, "links")
}

// The ports of these fleets, 16400 to 18703 with the settings of sen-vang, are those
// of no other package.
var _ = scene.Suite("../../..", -4600, -2600)
