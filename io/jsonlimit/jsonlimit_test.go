package jsonlimit_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
	"jacinthpost/io/jsonlimit"
)

func TestJSONLimit(t *testing.T) { specs.Run(t, "jsonlimit") }

const most = 3

// Guards against texts that take many times their size once they are decoded, and against the refusal of others.
var _ = DescribeTable("a text",
	func(text string, accepted bool) {
		err := jsonlimit.Check([]byte(text), most)
		Expect(err == nil).To(Equal(accepted), "%v", err)
	},
	Entry("with a list of the limit", `{"steps":[{},{},{}]}`, true),
	Entry("with a list over the limit", `{"steps":[{},{},{},{}]}`, false),
	Entry("with an inner list over the limit", `{"steps":[{"after":[0,1,2,3]}]}`, false),
	Entry("with lists in a list", `[[[],[],[]],[[],[],[]],[]]`, true),
	Entry("with a list of strings over the limit", `["a","]","[","b"]`, false),
	Entry("with a list over the limit that does not end", `{"steps":[0,0,0,0`, false),
	Entry("with many fields", `{"a":1,"b":2,"c":3,"d":4,"e":[1,2,3]}`, true),
	Entry("of the deepest nesting", strings.Repeat("[", 64)+strings.Repeat("]", 64), true),
	Entry("nested deeper", strings.Repeat("[", 65)+strings.Repeat("]", 65), false),
	Entry("nested deeper in objects", strings.Repeat(`{"a":`, 65), false),
	Entry("that is a number", `1`, true),
	Entry("that is empty", ``, true),
	Entry("that is not JSON", `]`, true),
	Entry("of two values", `1 2`, true),
)

// Guards against a check that reads on after the first list that is too long.
var _ = It("reads no more than it needs", func() {
	text := []byte(`[` + strings.Repeat(`0,`, 1<<20) + `0]`)
	Expect(json.Valid(text)).To(BeTrue())
	Expect(testing.AllocsPerRun(10, func() { _ = jsonlimit.Check(text, most) })).To(BeNumerically("<", 30))
})
