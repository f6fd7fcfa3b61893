package claim

import (
	"net/http"
	"slices"

	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// result is the combined result of the replicas' replies to one attempt.
type result interface {
	isResult()
}

// acquired means that a majority recorded the key as new.
type acquired struct{}

// finalAnswer means that the answer is known without running the request.
type finalAnswer struct{ answer call.Answer }

// inProgress means that another attempt is recorded for the key, without an answer yet.
type inProgress struct{}

// noMajority means that too few replicas could tell whether the key was used before.
type noMajority struct{}

func (acquired) isResult()    {}
func (finalAnswer) isResult() {}
func (inProgress) isResult()  {}
func (noMajority) isResult()  {}

// tally counts the replies of the replicas to one attempt.
type tally struct {
	replicas    int
	fingerprint uint64

	// reserved and full count the replies with the verdicts Reserved and Full.
	reserved, full int
	records        []*wire.ClaimRecord
}

// add counts one reply and reports whether further replies can no longer change the result.
func (t *tally) add(r *wire.ClaimReply) bool {
	switch r.GetVerdict() {
	case wire.ClaimVerdict_ClaimVerdictReserved:
		t.reserved++
	case wire.ClaimVerdict_ClaimVerdictFull:
		t.full++
	case wire.ClaimVerdict_ClaimVerdictKnown:
		t.records = append(t.records, r.GetRecords()...)
	}
	_, isFinal := t.result().(finalAnswer)
	return isFinal || t.reserved >= majority(t.replicas)
}

// result returns the combined result of the replies so far. A majority that recorded the key as new takes precedence
// over records of other attempts that the remaining replicas returned: as long as another attempt may have run the
// request and has not expired, no majority records the key as new.
func (t *tally) result() result {
	if t.replicas > 0 && t.reserved >= majority(t.replicas) {
		return acquired{}
	}
	for _, r := range t.records {
		if r.GetFingerprint() != t.fingerprint {
			return finalAnswer{answer: keyReusedAnswer()}
		}
	}
	if i := slices.IndexFunc(t.records, func(r *wire.ClaimRecord) bool { return r.GetAnswer() != nil }); i >= 0 {
		return finalAnswer{answer: decodeAnswer(t.records[i].GetAnswer())}
	}
	if len(t.records) > 0 {
		return inProgress{}
	}
	if t.replicas > 0 && t.reserved+t.full >= majority(t.replicas) {
		return finalAnswer{answer: call.NotRun(outcome.Overload)}
	}
	return noMajority{}
}

// keyReusedAnswer is the answer for a key that was used before with another request; this request did not run.
func keyReusedAnswer() call.Answer {
	return call.Rejected(outcome.KeyReused, http.StatusUnprocessableEntity)
}

// encodeAnswer encodes an answer for its record, without header and body if the body is too large.
func encodeAnswer(a *call.Answer) *wire.ClaimAnswer {
	r := &wire.ClaimAnswer{Outcome: string(a.Outcome), Reason: string(a.Reason), Status: uint32(a.Status)}
	if len(a.Body) > maxAnswerBytes {
		r.Dropped = true
		return r
	}
	r.Body = a.Body
	for n, l := range a.Header {
		for _, v := range l {
			r.Header = append(r.Header, &wire.ClaimField{Name: n, Value: v})
		}
	}
	return r
}

// decodeAnswer returns the recorded answer, or that the key is unknown if the answer wasn't recorded in full or the
// request may not have run to its end.
func decodeAnswer(r *wire.ClaimAnswer) call.Answer {
	if r.GetDropped() || outcome.Outcome(r.GetOutcome()) != outcome.Done {
		return call.Unknown(outcome.KeyUnknown)
	}
	h := http.Header{}
	for _, f := range r.GetHeader() {
		h.Add(f.GetName(), f.GetValue())
	}
	return call.Answer{
		Outcome: outcome.Done, Event: outcome.Completed{}, Reason: outcome.Reason(r.GetReason()),
		Status: int(r.GetStatus()), Header: h, Body: r.GetBody(),
	}
}
