package plot_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/cmd/jacinthpost/internal/plot"
	"jacinthpost/internal/specs"
)

func TestPlot(t *testing.T) { specs.Run(t, "plot") }

func expectXML(txt string) {
	GinkgoHelper()
	dec := xml.NewDecoder(strings.NewReader(txt))
	for {
		_, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("Lines", func() {
	DescribeTable("writes a document that viewers can read", func(all ...plot.Series) {
		var buf strings.Builder
		Expect(plot.Lines(&buf, "a < b & c", all...)).To(Succeed())
		expectXML(buf.String())
		Expect(buf.String()).NotTo(ContainSubstring("NaN"))
	},
		Entry("nothing"),
		Entry("one point", plot.Series{Name: "x", Points: []plot.Point{{X: 3, Y: 0}}}),
		Entry("a name with markup", plot.Series{Name: "<x>", Color: "red", Points: []plot.Point{{X: 0, Y: 1}, {X: 2, Y: 5}}}),
	)
})
