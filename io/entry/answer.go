package entry

import (
	"errors"

	"savoryfall/core/bytebudget"
	"savoryfall/core/dispatch"
	"savoryfall/core/request"
)

// freeAnswerBytes is how much of each answer is held without regard to the memory budget, so that answers of a usual size arrive
// while endpoints that send without end hold the rest.
const freeAnswerBytes = 16 << 10

// largeAnswer is the size in bytes from which on an answer for which there is no memory counts as a failure of its endpoint: endpoints
// that send without end must not go on to get requests because several do.
const largeAnswer = 1 << 20

// heldAnswer is what is held of an answer, or of a part of it that cannot be passed on yet. The zero value is not limited.
type heldAnswer struct {
	account *bytebudget.Account
	counted int64
}

// holdPart begins to hold an answer.
func (x *exchange) holdPart() (h heldAnswer) {
	if x.handler.Answers != nil {
		h.account = x.handler.Answers.Open(2 * maxResponseBytes)
	}
	return h
}

// hold sets how many bytes are held, and returns false if the budget does not allow that many.
func (h *heldAnswer) hold(n int64) (ok bool) {
	if h.account == nil {
		return true
	}
	more := max(n-freeAnswerBytes, 0) - h.counted
	switch {
	case more > 0 && !h.account.Reserve(more):
		return false
	case more < 0:
		h.account.Release(-more)
	}
	h.counted += more
	return true
}

func (h *heldAnswer) close() {
	if h.account != nil {
		h.account.Close()
	}
}

// readAnswer reads the whole body of an answer. It counts toward the memory budget until the exchange ends.
func (x *exchange) readAnswer(a *attempt) (body []byte, err error) {
	x.answer.close()
	x.answer = x.holdPart()
	size := int64(0)
	return a.response.ReadAll(maxResponseBytes, func(n int64) error {
		size += n
		if !x.answer.hold(size) {
			return errNoMemory
		}
		return nil
	})
}

// answerNotRead finishes an attempt whose answer could not be read. That memory is short for a small one says nothing of the
// endpoint.
func (x *exchange) answerNotRead(a *attempt, err error, counted int64) *request.Problem {
	if errors.Is(err, errNoMemory) && counted < largeAnswer {
		x.finishAttempt(a, dispatch.Abandoned)
		x.lostConnection = true
		return request.Unknown(request.Memory)
	}
	x.finishAttempt(a, dispatch.Broken)
	return x.unknownOutcome(dispatch.Broken)
}
