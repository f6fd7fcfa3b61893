package target

import (
	"time"

	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Sample is what the end of one request says about its target.
type Sample interface {
	sample()
}

// Success is a complete answer.
type Success struct {
	Latency time.Duration
	// Incarnation is the id of the target's process, empty when the target doesn't report it.
	Incarnation string
}

// Refusal is an answer by which the target refused the request without running it.
type Refusal struct{}

// Failure is a request that got no complete and valid answer.
type Failure struct{ Reason outcome.Reason }

// Abandoned is a request that was sent and that its caller then cancelled.
type Abandoned struct{}

// NoEvidence is a request that says nothing about the target, such as one that never reached it.
type NoEvidence struct{}

func (Success) sample()    {}
func (Refusal) sample()    {}
func (Failure) sample()    {}
func (Abandoned) sample()  {}
func (NoEvidence) sample() {}

// SampleOf returns what the end of an attempt says about its target.
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
