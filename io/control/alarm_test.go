package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
	"jacinthpost/io/control"
)

var suite *testing.T

func TestControl(t *testing.T) {
	suite = t
	specs.Run(t, "control")
}

// journal is the time of each event since the beginning.
type journal struct {
	began time.Time
	at    []time.Duration
}

// bubble runs a spec with virtual time on a loop with a queue of the given capacity.
func bubble(capacity int, spec func(lop *control.Loop[journal], jou *journal, run func())) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		jou := &journal{began: time.Now()}
		lop := control.NewLoop(jou, capacity, nil)
		spec(lop, jou, func() { go lop.Run(ctx) })
	})
}

func note(jou *journal, now time.Time) { jou.at = append(jou.at, now.Sub(jou.began)) }

// Guards against a deadline that is missed because a later one was armed before
// or after it, and against an alarm that is lost because the queue is full.
var _ = Describe("an alarm", func() {
	// arm returns an event, because only the control goroutine may arm an alarm.
	arm := func(alm *control.Alarm[journal], durs ...time.Duration) control.Func[journal] {
		return func(jou *journal, _ time.Time) {
			for _, dur := range durs {
				alm.Arm(jou.began, jou.began.Add(dur))
			}
		}
	}
	DescribeTable("goes off once at the earliest time", func(durs ...time.Duration) {
		bubble(8, func(lop *control.Loop[journal], jou *journal, run func()) {
			run()
			Expect(lop.TryPost(arm(control.NewAlarm(lop, note), durs...))).To(BeTrue())
			<-time.After(time.Minute)
			synctest.Wait()
			Expect(jou.at).To(Equal([]time.Duration{time.Second}))
		})
	},
		Entry("armed alone", time.Second),
		Entry("armed before a later one", time.Second, 2*time.Second),
		Entry("armed after a later one", 2*time.Second, time.Second),
	)
	It("can be armed again by its event", func() {
		bubble(8, func(lop *control.Loop[journal], jou *journal, run func()) {
			run()
			var alm *control.Alarm[journal]
			alm = control.NewAlarm(lop, func(jou *journal, now time.Time) {
				note(jou, now)
				alm.Arm(now, now.Add(time.Second))
			})
			Expect(lop.TryPost(arm(alm, time.Second))).To(BeTrue())
			<-time.After(3500 * time.Millisecond)
			synctest.Wait()
			Expect(jou.at).To(HaveLen(3))
			alm.Stop()
		})
	})
	It("tries again when the queue is full", func() {
		bubble(1, func(lop *control.Loop[journal], jou *journal, run func()) {
			Expect(lop.TryPost(control.Func[journal](func(*journal, time.Time) {}))).To(BeTrue())
			arm(control.NewAlarm(lop, note), time.Second)(jou, jou.began)
			<-time.After(2 * time.Second)
			run()
			<-time.After(time.Second)
			synctest.Wait()
			Expect(jou.at).To(HaveLen(1))
		})
	})
})

// Guards against periodic work that wakes the process separately instead of with other such work.
var _ = It("runs work of several periods together", func() {
	bubble(8, func(*control.Loop[journal], *journal, func()) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		moments := make(chan time.Time, 100)
		for _, period := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			go control.Every(ctx, period, func() { moments <- time.Now() })
			<-time.After(70 * time.Millisecond)
		}
		<-ctx.Done()
		synctest.Wait()
		close(moments)
		distinct, total := map[time.Time]bool{}, 0
		for mom := range moments {
			distinct[mom] = true
			total++
		}
		Expect(total).To(BeNumerically(">=", 68))
		Expect(len(distinct)).To(BeNumerically("<=", 40))
	})
})
