package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// crashesEngines reports whether so many engines crashed under the chat that no other one may
// get it.
func (j *job) crashesEngines() bool {
	return len(j.crashedEngines) >= maxCrashedEngines
}

// notAdmitted reports whether err guarantees that the engine did not start the
// work.
func notAdmitted(err error) bool {
	return code.Of(err).Run == code.RunNo
}

// mayRetry reports whether the request is tried again after err. A started answer
// is continued regardless of the retry budget, since its caller was already
// admitted; the engines' caps and maxFailedEngines bound the additional load.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.receiverErr != nil || code.Is(err, code.Canceled) {
		return false
	}
	if j.crashesEngines() || len(j.failedEngines) >= maxFailedEngines || len(j.failedEngines) == len(j.candidates) {
		return false
	}
	if j.started {
		return true
	}
	return !notAdmitted(err) && j.router.retryBudget.takeRetry()
}

// finalError returns the error that the caller gets after the last attempt failed
// with err.
func (j *job) finalError(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled || j.receiverErr != nil {
		return code.New(code.Canceled, "the caller disconnected")
	}
	if ctx.Err() != nil {
		return code.New(code.DeadlineExceeded, "the deadline has passed").After(busyRetryAfter)
	}
	if code.Is(err, code.Canceled) {
		return err
	}
	if code.Is(err, code.CrashingPrompt) && !j.started && (j.crashesEngines() || notAdmitted(err)) {
		return j.crashError()
	}
	if notAdmitted(err) && !j.started {
		return j.withFailedAttempts(err)
	}
	if j.started {
		return code.New(code.AnswerIncomplete, "the answer failed after %d tokens: %v", len(j.delivered), err).After(busyRetryAfter)
	}
	return code.New(code.RetryBudget, "no engine finished the request: %v", err).After(busyRetryAfter).WithRun(code.RunPartial)
}

// crashError returns the error for a chat under which engines crash.
func (j *job) crashError() error {
	return j.withFailedAttempts(crashingPrompt("%d engines crashed before they answered the chat", len(j.crashedEngines)))
}

// withFailedAttempts returns a copy of err that does not say code.RunNo if an engine may have
// started the work.
func (j *job) withFailedAttempts(err error) error {
	coded := *code.Of(err)
	if len(j.failedEngines) > 0 {
		coded.Run = code.RunPartial
	}
	return &coded
}

// timeLeft returns the time until the deadline of ctx; one hour if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
