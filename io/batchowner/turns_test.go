package batchowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jacinthpost/core/decision"
)

// Guards against an owner that is too busy to answer its agents without a trace in its log.
var _ = Describe("turnMeter", func() {
	measure := func(turns map[turnKind]time.Duration, wait time.Duration) []observer.LoggedEntry {
		cor, logs := observer.New(zapcore.InfoLevel)
		var mtr turnMeter
		begun := time.Unix(1000, 0)
		mtr.report(begun, zap.New(cor))
		for knd, took := range turns {
			mtr.begin(knd, wait)
			mtr.end(took)
		}
		mtr.report(begun.Add(turnPeriod), zap.New(cor))
		mtr.report(begun.Add(2*turnPeriod), zap.New(cor))
		return logs.FilterMessage(string(decision.OwnerBusy)).All()
	}

	It("logs what took most of a busy period, once", func() {
		ents := measure(map[turnKind]time.Duration{planTurn: 500 * time.Millisecond, reportTurn: 300 * time.Millisecond}, 0)
		Expect(ents).To(HaveLen(1))
		Expect(ents[0].ContextMap()).To(HaveKeyWithValue(decision.KeyReason, "plan"))
		Expect(ents[0].ContextMap()).To(HaveKeyWithValue(decision.KeyDetail, "report=300ms plan=500ms longest=500ms (plan) wait=0ms"))
	})

	It("logs that events waited long", func() {
		Expect(measure(map[turnKind]time.Duration{newsTurn: time.Millisecond}, busyWait)).To(HaveLen(1))
	})

	It("logs nothing about a calm period", func() {
		Expect(measure(map[turnKind]time.Duration{planTurn: 200 * time.Millisecond}, time.Millisecond)).To(BeEmpty())
	})
})
