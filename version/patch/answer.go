package patch

import "github.com/amaranthramp/amaranthramp/ident"

// Outcome is the result of a submission.
type Outcome string

// The outcomes of a submitted patch.
const (
	// Accepted means that the version is or will be in force on all VMs.
	Accepted Outcome = "Accepted"
	// Refused means that this submission has changed nothing and never will; with CausePlatform it says nothing about
	// other submissions of the same patch.
	Refused Outcome = "Refused"
	// Unknown means that the change may be in force or may still come into force; submitting the patch again
	// determines which.
	Unknown Outcome = "Unknown"
)

// Cause is the reason why a patch was not accepted.
type Cause string

// The causes of refusal.
const (
	CauseNone     Cause = ""
	CauseFindings Cause = "Findings"
	CauseStale    Cause = "Stale"
	CauseID       Cause = "IdUsed"
	CausePlatform Cause = "Platform"
	CauseBusy     Cause = "Busy"
)

// Submission is a patch as an operator sends it; its fields take precedence over the keys in its text.
type Submission struct {
	// File is the file name that findings show.
	File string
	Text string
	// Against is the version that the patch was made against.
	Against  *ident.Version `json:",omitempty"`
	ID       ident.Patch    `json:"Id,omitempty"`
	Operator string         `json:",omitempty"`
}

// Answer is the response to a submission.
type Answer struct {
	Outcome  Outcome
	Cause    Cause `json:",omitempty"`
	Patch    ident.Patch
	Version  ident.Version `json:",omitempty"`
	Reason   string        `json:",omitempty"`
	Findings []string      `json:",omitempty"`
}
