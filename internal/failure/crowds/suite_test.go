// Package crowds tests that clients that don't behave can't end a process, exceed the memory of its
// machine or lock ordinary callers out. Each spec starts processes of its own on loopback.
//
// The limits in the settings are lowered, so that a small crowd is enough. No check depends on the
// speed of the machine.
package crowds_test

import (
	"testing"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/specs"
)

func TestCrowds(t *testing.T) { specs.Run(t, "crowds") }

// These fleets use the ports 11000 to 13303, which no other package uses at 127.0.0.1.
var _ = scene.Suite("../../..", -10000, -9000)
