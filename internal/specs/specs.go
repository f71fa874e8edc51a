// Package specs runs the ginkgo specs of a package in a fixed order, so that CI results are
// reproducible.
package specs

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed determines the order of the top-level containers of each suite. The default of ginkgo
// depends on the time.
const seed = 20261204

// Run runs the specs of the calling package. If JACINTHPOST_SEEDS is set, the order is random.
// Specs that match the regular expression in JACINTHPOST_KNOWN_RED, which scripts/test derives
// from KNOWN-RED.txt, are skipped.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	cfg, rep := ginkgo.GinkgoConfiguration()
	if os.Getenv("JACINTHPOST_SEEDS") == "" {
		cfg.RandomSeed = seed
	}
	if red := os.Getenv("JACINTHPOST_KNOWN_RED"); red != "" {
		cfg.SkipStrings = append(cfg.SkipStrings, red)
	}
	ginkgo.RunSpecs(t, name, cfg, rep)
}
