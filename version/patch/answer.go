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

// Cause is the kind of reason for which a patch was not accepted.
type Cause string

// The causes for which a patch is not accepted; CauseNone is that of an accepted one.
const (
	CauseNone Cause = ""
	// CauseFindings means that the patch or the resulting configuration is not valid.
	CauseFindings Cause = "Findings"
	// CauseStale means that the patch was not made against the newest version.
	CauseStale Cause = "Stale"
	// CauseIDUsed means that another patch with the same id was accepted.
	CauseIDUsed Cause = "IdUsed"
	// CausePlatform means that the platform could not be read or did not confirm the update.
	CausePlatform Cause = "Platform"
	// CauseBusy means that the submission waited for others until its time limit.
	CauseBusy Cause = "Busy"
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
	Outcome Outcome
	// Cause is for programs, Reason is a sentence for operators.
	Cause   Cause `json:",omitempty"`
	Patch   ident.Patch
	Version ident.Version `json:",omitempty"`
	Reason  string        `json:",omitempty"`
	// Findings contains the findings of CauseFindings, formatted as FILE:LINE:COLUMN: text.
	Findings []string `json:",omitempty"`
}
