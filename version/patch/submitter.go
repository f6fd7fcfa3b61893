package patch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// Submitter accepts or refuses patches. Any control process may do so: of several concurrent submitters, the platform's
// conditional update lets one succeed.
type Submitter struct {
	archive *archive.Archive
	now     func() time.Time
	// accepted is called with each snapshot that this submitter has put in force.
	accepted func(*archive.Snapshot)
	// semaphore admits one patch at a time, since a concurrent one would fail with a conflict anyway.
	semaphore chan struct{}
	// cached is the newest snapshot that was loaded; its groups need not be loaded again.
	cached *archive.Snapshot
}

// NewSubmitter returns a submitter; now returns the time of the wall clock.
func NewSubmitter(a *archive.Archive, now func() time.Time, accepted func(*archive.Snapshot)) *Submitter {
	return &Submitter{archive: a, now: now, accepted: accepted, semaphore: make(chan struct{}, 1),
		cached: archive.Empty()}
}

// submission is a parsed patch whose answer is being determined.
type submission struct {
	file *File
	id   ident.Patch
	// digest is the first 8 bytes of the SHA-256 hash of the patch's text in hexadecimal; it tells two patches with the
	// same id apart.
	digest string
}

// Submit accepts or refuses a patch.
func (s *Submitter) Submit(ctx context.Context, q Submission) Answer {
	n, l := parseSubmission(q)
	if len(l) > 0 {
		return refusalForFindings(n.id, l)
	}
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	case <-ctx.Done():
		return Answer{Outcome: Refused, Cause: CauseBusy, Patch: n.id, Reason: "other patches are being processed"}
	}
	h, err := s.archive.Load(ctx, s.cached)
	if err != nil {
		return Answer{Outcome: Refused, Cause: CausePlatform, Patch: n.id,
			Reason: fmt.Sprintf("the platform can't be read, this submission changed nothing: %v", err)}
	}
	s.cached = h
	if a, ok := n.decide(&h.Head); ok {
		return a
	}
	c, l := n.file.Apply(h.Config)
	now := s.now().UTC().Truncate(time.Millisecond)
	r, reused := updateRetired(n.file, &h.Head, h.Config, c, now)
	if l = append(l, reused...); len(l) > 0 {
		return refusalForFindings(n.id, l)
	}
	return s.replace(ctx, n, h, c, r, now)
}

func (s *Submitter) replace(ctx context.Context, n *submission, h *archive.Snapshot, c *config.Config,
	r []archive.Retired, now time.Time,
) Answer {
	e := archive.Entry{
		Version: h.Head.Version + 1, Patch: n.id, Digest: n.digest, Operator: n.file.Patch.Operator, At: now,
		Summary: n.file.Patch.Summary(),
	}
	v, err := s.archive.Replace(ctx, h, c, e, r)
	switch {
	case err == nil:
		s.accepted(v)
		return Answer{Outcome: Accepted, Patch: n.id, Version: e.Version}
	case errors.Is(err, archive.ErrConflict):
		return s.resolveConflict(ctx, n)
	case errors.Is(err, archive.ErrUnknown):
		return Answer{Outcome: Unknown, Cause: CausePlatform, Patch: n.id,
			Reason: fmt.Sprintf("the platform did not confirm the update; submit %s again: %v", n.id, err)}
	default:
		return Answer{Outcome: Refused, Cause: CausePlatform, Patch: n.id,
			Reason: fmt.Sprintf("the platform did not apply the update, this submission changed nothing: %v", err)}
	}
}

// resolveConflict determines the answer after a conflicting update, which may come from the same patch through another
// control process.
func (s *Submitter) resolveConflict(ctx context.Context, n *submission) Answer {
	h, err := s.archive.Load(ctx, s.cached)
	if err == nil {
		if a, ok := n.decide(&h.Head); ok {
			return a
		}
	}
	return Answer{Outcome: Refused, Cause: CauseStale, Patch: n.id,
		Reason: "another patch was accepted first, nothing changed"}
}

// decide returns the answer if the newest version alone determines it; otherwise it returns false, and the patch has to
// be applied.
func (n *submission) decide(h *archive.Head) (Answer, bool) {
	against := n.file.Patch.Against
	e, known := h.Find(n.id)
	switch {
	case known && e.Digest == n.digest:
		return Answer{Outcome: Accepted, Patch: n.id, Version: e.Version, Reason: "accepted before"}, true
	case known:
		return Answer{Outcome: Refused, Cause: CauseIDUsed, Patch: n.id, Reason: fmt.Sprintf(
			"id %s is that of another patch, accepted as version %s; choose another id", n.id, e.Version)}, true
	case against == h.Version:
		return Answer{}, false
	case against > h.Version:
		return Answer{Outcome: Refused, Cause: CauseStale, Patch: n.id, Reason: fmt.Sprintf(
			"version %s does not exist; the newest is %s", against, h.Version)}, true
	case !h.HistoryCovers(against + 1):
		return Answer{Outcome: Unknown, Cause: CauseStale, Patch: n.id, Reason: fmt.Sprintf(
			"version %s is older than the history, which can't tell whether %s was accepted; the newest is %s",
			against, n.id, h.Version)}, true
	default:
		return Answer{Outcome: Refused, Cause: CauseStale, Patch: n.id, Reason: staleReason(h, against)}, true
	}
}

func staleReason(h *archive.Head, against ident.Version) string {
	var l []string
	for _, e := range h.Since(against) {
		l = append(l, fmt.Sprintf("version %s by %s (patch %s: %s)", e.Version, e.Operator, e.Patch, e.Summary))
	}
	return fmt.Sprintf("made against version %s, but since then: %s", against, strings.Join(l, "; "))
}

// parseSubmission parses the text and combines it with the fields of the submission.
func parseSubmission(q Submission) (*submission, finding.List) {
	f, l := Read(q.File, []byte(q.Text))
	p := &f.Patch
	if q.Against != nil {
		p.Against = *q.Against
	} else if len(l) == 0 && !f.document.Has("Against") {
		l = append(l, f.document.Finding("", "Against is missing; name the version that the patch was made against"))
	}
	if q.ID != "" {
		p.ID = q.ID
	}
	if q.Operator != "" {
		p.Operator = q.Operator
	}
	if len(l) == 0 && (p.ID == "" || len(p.ID) > config.MaxName) {
		l = append(l, f.document.Finding("Id", "Id is missing or too long; write 1 to %d characters that no other patch has",
			config.MaxName))
	}
	if len(p.Operator) > config.MaxName {
		l = append(l, f.document.Finding("Operator", "Operator is too long; write at most %d characters", config.MaxName))
	}
	sum := sha256.Sum256([]byte(q.Text))
	return &submission{file: f, id: p.ID, digest: hex.EncodeToString(sum[:8])}, l
}

// refusalForFindings returns the answer to a patch that is refused because it has findings.
func refusalForFindings(id ident.Patch, l finding.List) Answer {
	l.Sort()
	a := Answer{Outcome: Refused, Cause: CauseFindings, Patch: id, Reason: "the patch has findings, nothing changed"}
	for _, f := range l {
		a.Findings = append(a.Findings, f.String())
	}
	return a
}
