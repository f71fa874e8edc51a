package settings_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/internal/specs"
	"jacinthpost/io/settings"
)

func TestSettings(t *testing.T) {
	specs.Run(t, "settings")
}

// document returns settings of a role with changes; a nil value removes the key.
func document(rol settings.Role, changes map[string]any) string {
	doc := map[string]any{
		"instance": "bac-hanoi-1", "region": "bac", "dataCentre": "bac-hanoi", "rack": "r1", "storeRegion": "bac",
		"peerAddress": "127.0.0.1:1", "gossipAddress": "127.0.0.1:1", "metricsAddress": "0.0.0.0:2",
		"tableAddress": "127.0.0.1:3", "objectAddress": "127.0.0.1:3",
	}
	if rol == settings.Entry {
		doc["callerAddress"] = "127.0.0.1:4"
	} else {
		doc["localAddress"], doc["workerAddress"] = "127.0.0.1:5", "[::1]:6"
	}
	for key, value := range changes {
		doc[key] = value
		if value == nil {
			delete(doc, key)
		}
	}
	text, err := json.Marshal(doc)
	if err != nil { // table entries call this before a spec runs
		panic(err)
	}
	return string(text)
}

func texts(faults []settings.Fault) []string {
	out := make([]string, 0, len(faults))
	for _, fau := range faults {
		out = append(out, fau.String())
	}
	return out
}

// Guards against a default that is not applied and an accessor that returns the value of another key.
var _ = It("applies defaults and returns every value", func() {
	set, faults := settings.Parse([]byte(document(settings.Agent, map[string]any{
		"seeds": []string{"127.0.0.1:7"}, "queueLimit": 9,
	})), settings.Agent)
	Expect(faults).To(BeEmpty())
	Expect(set.Instance()).To(Equal(fleet.InstanceID("bac-hanoi-1")))
	Expect(set.Location()).To(Equal(fleet.NewLocation("bac", "bac-hanoi", "r1")))
	Expect([]string{set.PeerAddress(), set.GossipAddress(), set.MetricsAddress(), set.LocalAddress(), set.WorkerAddress(), set.CallerAddress()}).
		To(Equal([]string{"127.0.0.1:1", "127.0.0.1:1", "0.0.0.0:2", "127.0.0.1:5", "[::1]:6", ""}))
	Expect([]string{set.TableAddress(), set.ObjectAddress()}).To(Equal([]string{"127.0.0.1:3", "127.0.0.1:3"}))
	Expect(set.Seeds()).To(Equal([]string{"127.0.0.1:7"}))
	Expect([]int{set.Partitions(), set.QueueLimit()}).To(Equal([]int{16, 9}))
	Expect([]time.Duration{set.RequestTimeout(), set.Shutdown()}).To(Equal([]time.Duration{10 * time.Second, 20 * time.Second}))
	Expect(set.LogLevel()).To(Equal("info"))
})

// Guards against settings that are accepted although a process would behave in
// another way than the file says.
var _ = DescribeTable("a fault",
	func(rol settings.Role, data string, want ...string) {
		_, faults := settings.Parse([]byte(data), rol)
		Expect(texts(faults)).To(Equal(want))
	},
	Entry("unknown key", settings.Entry, `{"colour":1,`+body(settings.Entry), `$.colour: is 1, expected no such key for role entry`),
	Entry("key in another case", settings.Entry, `{"Partitions":4,`+body(settings.Entry), `$.Partitions: is 4, expected no such key for role entry`),
	Entry("key of the other role", settings.Entry, `{"workerAddress":"127.0.0.1:9",`+body(settings.Entry),
		`$.workerAddress: is "127.0.0.1:9", expected no such key for role entry`),
	Entry("duplicate key", settings.Agent, `{"rack":"r2",`+body(settings.Agent), `$.rack: is "r1", expected one occurrence of the key`),
	Entry("wrong type", settings.Agent, `{"partitions":"16",`+body(settings.Agent), `$.partitions: is "16", expected an integer`),
	Entry("null", settings.Agent, `{"logLevel":null,`+body(settings.Agent), `$.logLevel: is null, expected a string`),
	Entry("fraction", settings.Agent, `{"queueLimit":1.5,`+body(settings.Agent), `$.queueLimit: is 1.5, expected an integer`),
	Entry("bad list items", settings.Agent, `{"seeds":["127.0.0.1:7",5,"host:7"],`+body(settings.Agent),
		`$.seeds[1]: is 5, expected a string`, `$.seeds[2]: is "host:7", expected a specified IP address and a port, as in 127.0.0.1:8080`),
	Entry("shared listener", settings.Entry, document(settings.Entry, map[string]any{"callerAddress": "127.0.0.1:1"}),
		`$.peerAddress: is "127.0.0.1:1", expected an address other than that of callerAddress`),
	Entry("a name for an IP address", settings.Agent, document(settings.Agent, map[string]any{"instanceAddress": "host"}),
		`$.instanceAddress: is "host", expected an IP address, as in 127.0.0.1`),
	Entry("not an object", settings.Entry, `[]`, `$: missing, expected one JSON object: it begins with another value`),
	Entry("data after the object", settings.Entry, document(settings.Entry, nil)+`{}`, `$: missing, expected one JSON object: data follows the object`),
	Entry("unknown role", settings.Role("x"), `{}`, `$: is x, expected role entry or agent`),
	Entry("several faults at once", settings.Agent, document(settings.Agent, map[string]any{
		"instance": "a/b", "rack": nil, "peerAddress": "0.0.0.0:1", "workerAddress": "worker:1", "partitions": 0,
		"shutdownSeconds": 601, "logLevel": "loud",
	}),
		`$.instance: is "a/b", expected 1 to 63 letters, digits, dots, underscores or hyphens, the first a letter or digit`,
		`$.rack: missing, expected a value`,
		`$.peerAddress: is "0.0.0.0:1", expected a specified IP address and a port, as in 127.0.0.1:8080`,
		`$.workerAddress: is "worker:1", expected a specified IP address and a port, as in 127.0.0.1:8080`,
		`$.partitions: is 0, expected at least 1`,
		`$.shutdownSeconds: is 601, expected at most 600`,
		`$.logLevel: is "loud", expected one of: debug info warn error`,
	),
)

// Guards against a process behind address translation that listens at the
// address of the translator, or tells others an address that they can't reach.
var _ = It("listens at the address of the instance and announces the translated one", func() {
	set, faults := settings.Parse([]byte(document(settings.Entry, map[string]any{"instanceAddress": "127.0.1.2", "gossipAddress": "127.0.0.1:8"})), settings.Entry)
	Expect(faults).To(BeEmpty())
	Expect([]string{set.PeerAddress(), set.PeerListenAddress(), set.GossipAddress(), set.GossipListenAddress()}).
		To(Equal([]string{"127.0.0.1:1", "127.0.1.2:1", "127.0.0.1:8", "127.0.1.2:8"}))
})

// body returns a valid document without its opening brace, to follow another key.
func body(rol settings.Role) string { return document(rol, nil)[1:] }

// FuzzParse guards against input that crashes the parser, and against settings
// that are accepted although a rule is broken.
func FuzzParse(f *testing.F) {
	for _, rol := range []settings.Role{settings.Entry, settings.Agent} {
		f.Add(document(rol, nil), rol == settings.Agent)
		f.Add(document(rol, map[string]any{"seeds": []string{"127.0.0.1:7"}, "partitions": 64}), rol == settings.Agent)
		f.Add(`{"seeds":[null],"rack":{"a":[1]},"rack":1e9}`, rol == settings.Agent)
	}
	f.Fuzz(func(t *testing.T, data string, agent bool) {
		rol := map[bool]settings.Role{true: settings.Agent, false: settings.Entry}[agent]
		set, faults := settings.Parse([]byte(data), rol)
		if len(faults) > 0 {
			return
		}
		adr, err := netip.ParseAddrPort(set.PeerAddress())
		if err != nil || adr.Addr().IsUnspecified() || set.Partitions() < 1 || set.Instance() == "" || set.Role() != rol {
			t.Fatalf("accepted %q as %+v", data, set)
		}
	})
}
