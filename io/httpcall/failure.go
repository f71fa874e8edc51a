package httpcall

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// Stage is how far a failed call came.
type Stage int

// Stages of a failed call.
const (
	NotSent    Stage = iota // no connection was obtained; the service received nothing
	NoAnswer                // the request may have been received; no answer came
	BrokenBody              // an answer began but is incomplete or too long
)

var stageNames = [...]string{NotSent: "notSent", NoAnswer: "noAnswer", BrokenBody: "brokenBody"}

// String returns the name of the stage as used in counters.
func (stg Stage) String() string { return stageNames[stg] }

// Failure is the error of a call without a complete answer.
type Failure struct {
	stage    Stage
	timedOut bool
	err      error
}

// Stage returns how far the call came.
func (fai *Failure) Stage() Stage { return fai.stage }

// TimedOut reports whether the time limit of the call or of its context passed.
func (fai *Failure) TimedOut() bool { return fai.timedOut }

// Error describes the failure.
func (fai *Failure) Error() string { return fai.stage.String() + ": " + fai.err.Error() }

// Unwrap returns the cause.
func (fai *Failure) Unwrap() error { return fai.err }

// Classifier maps failures to the errors of one port.
type Classifier struct {
	unavailable error
	uncertain   error
}

// Classifiers returns the classifiers of a port. They report a call that had no
// effect as unavailable and a write that may have had one as uncertain; a read
// has none.
func Classifiers(unavailable, uncertain error) (writes, reads Classifier) {
	return Classifier{unavailable: unavailable, uncertain: uncertain}, Classifier{unavailable: unavailable, uncertain: unavailable}
}

// Failed classifies a call without a complete answer.
func (cla Classifier) Failed(err error) error {
	var fai *Failure
	if errors.As(err, &fai) && fai.stage == NotSent {
		return mark(cla.unavailable, err)
	}
	return mark(cla.uncertain, err)
}

// Refused returns the error of an answer whose status is not in the 200 range.
// 503 and every 4xx status, 429 among them, mean that nothing was applied. After
// any other status the effect is unknown.
func (cla Classifier) Refused(ans Answer) error {
	err := errors.Errorf("answer has status %d", ans.status)
	if ans.status == http.StatusServiceUnavailable || ans.status/100 == 4 {
		return mark(cla.unavailable, err)
	}
	return mark(cla.uncertain, err)
}

// Decode decodes the JSON body of the result of a call and names the operation
// in the error. A nil out accepts any body.
func (cla Classifier) Decode(operation string, ans Answer, err error, out any) error {
	if err := cla.decode(ans, err, out); err != nil {
		return errors.Wrap(err, operation)
	}
	return nil
}

func (cla Classifier) decode(ans Answer, err error, out any) error {
	if err != nil {
		return cla.Failed(err)
	}
	if !ans.OK() {
		return cla.Refused(ans)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(ans.body, out); err != nil {
		return mark(cla.uncertain, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// marked joins a port error with its cause, so that errors.Is finds both.
type marked struct {
	kind  error
	cause error
}

func mark(kind, cause error) error { return &marked{kind: kind, cause: cause} }

// Error describes the failure.
func (mrk *marked) Error() string { return mrk.kind.Error() + ": " + mrk.cause.Error() }

// Unwrap returns the port error and the cause.
func (mrk *marked) Unwrap() []error { return []error{mrk.kind, mrk.cause} }
