package platform_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/store"
)

// Guards against a difference between the double and the platform that no
// single case shows: random transactions, reads and lists must have equal results.
var _ = It("the double and the clients agree on random operations", func() {
	clients := openClients()
	for seed := range seeds() {
		Expect(flag.Set("rapid.seed", strconv.Itoa(7+seed))).To(Succeed())
		Expect(flag.Set("rapid.checks", "30")).To(Succeed())
		checkAgreement(clients, fmt.Sprintf("seed%d/", seed))
	}
})

// seeds returns how many seeds to run: one, or as many as JACINTHPOST_SEEDS asks for.
func seeds() int {
	num, err := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS"))
	if err != nil {
		return 1
	}
	return max(num, 1)
}

func checkAgreement(clients subject, space string) {
	key := rapid.Custom(func(gen *rapid.T) string {
		return fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"a/", "a/b/", "c"}).Draw(gen, "prefix"), rapid.IntRange(0, 3).Draw(gen, "number"))
	})
	round := 0
	rapid.Check(GinkgoTB(), func(gen *rapid.T) {
		round++ // each round has its own rows in the shared platform
		base := fmt.Sprintf("%sround%d/", space, round)
		fake := openFake()
		versions := newVersionMap()
		for range rapid.IntRange(1, 15).Draw(gen, "operations") {
			one, two := &store.Transaction{}, &store.Transaction{}
			for range rapid.IntRange(0, 3).Draw(gen, "conditions") {
				name, right := base+key.Draw(gen, "key"), rapid.Bool().Draw(gen, "right")
				one.Require(name, versions.required(fake, name, right, false))
				two.Require(name, versions.required(fake, name, right, true))
			}
			for range rapid.IntRange(0, 3).Draw(gen, "writes") {
				name, value := base+key.Draw(gen, "key"), rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(gen, "value")
				if rapid.IntRange(0, 3).Draw(gen, "kind") == 0 {
					one.Delete(name)
					two.Delete(name)
					continue
				}
				one.Put(name, value)
				two.Put(name, value)
			}
			versions.commit(fake, clients, one, two)
			after := base + key.Draw(gen, "after")
			limit := rapid.IntRange(1, 6).Draw(gen, "limit")
			expectSameList(fake, clients, base+"a/", after, limit)
		}
	})
}

// versionMap relates the versions of the two implementations, which count from different starts.
type versionMap struct {
	platform map[store.Version]store.Version
}

func newVersionMap() versionMap {
	return versionMap{platform: map[store.Version]store.Version{0: 0}}
}

func (ver versionMap) required(fake subject, key string, right, ofPlatform bool) store.Version {
	rows, err := fake.table.Read(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	if !right {
		return 1 << 40
	}
	if ofPlatform {
		return ver.platform[rows[0].Version()]
	}
	return rows[0].Version()
}

func (ver versionMap) commit(fake, clients subject, one, two *store.Transaction) {
	got, err := fake.table.Commit(context.Background(), one)
	Expect(err).NotTo(HaveOccurred())
	want, err := clients.table.Commit(context.Background(), two)
	Expect(err).NotTo(HaveOccurred())
	Expect(want.Committed()).To(Equal(got.Committed()))
	Expect(keysOf(want.Conflicts())).To(Equal(keysOf(got.Conflicts())))
	if got.Committed() {
		ver.platform[got.Version()] = want.Version()
	}
}

func expectSameList(fake, clients subject, prefix, after string, limit int) {
	one, err := fake.table.List(context.Background(), prefix, after, limit)
	Expect(err).NotTo(HaveOccurred())
	two, err := clients.table.List(context.Background(), prefix, after, limit)
	Expect(err).NotTo(HaveOccurred())
	Expect(keysOf(two)).To(Equal(keysOf(one)))
	for idx := range one {
		Expect(two[idx].Value()).To(Equal(one[idx].Value()))
	}
}
