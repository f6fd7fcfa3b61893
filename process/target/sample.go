package target

import (
	"time"

	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Sample is what one ended request tells of its target.
type Sample interface {
	sample()
}

// Success is a whole answer.
type Success struct {
	Latency time.Duration
	// Incarnation is the id of the target's process, empty when the target doesn't tell.
	Incarnation string
}

// Refusal is an answer by which the target refused the request as not run.
type Refusal struct{}

// Failure is a request that brought no whole and true answer.
type Failure struct{ Reason outcome.Reason }

// Abandoned is a request that was written and that its caller gave up.
type Abandoned struct{}

// NoEvidence is a request that never reached the target.
type NoEvidence struct{}

func (Success) sample()    {}
func (Refusal) sample()    {}
func (Failure) sample()    {}
func (Abandoned) sample()  {}
func (NoEvidence) sample() {}

// SampleOf reads the evidence in how an attempt ended.
func SampleOf(e outcome.Event, latency time.Duration, incarnation string) Sample {
	switch v := e.(type) {
	case outcome.Completed:
		return Success{Latency: latency, Incarnation: incarnation}
	case outcome.Refused:
		return Refusal{}
	case outcome.Broken:
		return sampleOfBroken(v.Reason)
	case outcome.NeverWritten:
		if v.Reason == outcome.Unreachable {
			return Failure(v)
		}
		return NoEvidence{}
	default:
		return NoEvidence{}
	}
}

func sampleOfBroken(r outcome.Reason) Sample {
	if r == outcome.Cancelled {
		return Abandoned{}
	}
	return Failure{Reason: r}
}
