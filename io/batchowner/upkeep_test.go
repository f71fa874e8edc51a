package batchowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/upkeep"
)

// Guards against progress of a wave that a new owner, or one of a newer version, cannot read.
var _ = DescribeTable("the row of a wave", func(row []byte, want upkeep.Stored) {
	got, err := decodeWave(row)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(want))
},
	Entry("as stored now", encodeProgress(upkeep.Change{Wave: 1, Stored: upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested}, Elapsed: 3 * time.Second}}),
		upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested}, Elapsed: 3 * time.Second}),
	Entry("without machines", encodeProgress(upkeep.Change{Wave: 1, Stored: upkeep.Stored{Progress: upkeep.Progress{}, Elapsed: time.Second}}),
		upkeep.Stored{Progress: upkeep.Progress{}, Elapsed: time.Second}),
	Entry("of an earlier version", []byte(`{"m0":"asked","machines":"begun"}`),
		upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested, "machines": upkeep.Begun}}),
)
