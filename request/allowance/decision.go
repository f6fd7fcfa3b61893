package allowance

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Decision says whether a request may be sent: Granted, Exceeded or Unavailable.
type Decision interface {
	decision()
}

// Granted means that the request has a token, or needs none.
type Granted struct {
	// Expires is when the token expires if it is returned unused; zero if the request needed none.
	Expires clock.Instant
}

// Exceeded means that the team has used up its allowance.
type Exceeded struct {
	RetryAfter time.Duration
}

// Unavailable means that no keeper answers, so that it is not known whether the team has used up its allowance.
type Unavailable struct {
	RetryAfter time.Duration
}

func (Granted) decision()     {}
func (Exceeded) decision()    {}
func (Unavailable) decision() {}

// Waiter identifies a request that waits for a token.
type Waiter uint64

// Action is something that the owner of a pool has to do: Send, Decide or Note.
type Action interface {
	action()
}

// Send means that a message has to be sent to a keeper, which may be this member itself.
type Send struct {
	To      *roster.Member
	Message *wire.AllowanceMessage
}

// Decide means that a request has to be told the decision.
type Decide struct {
	Waiter   Waiter
	Decision Decision
}

// Note means that the team has begun, or ceased, to exceed its allowance at this VM.
type Note struct {
	Exceeding bool
}

func (Send) action()   {}
func (Decide) action() {}
func (Note) action()   {}
