package exchange

import (
	"net/http"
	"testing"
	"time"
)

// TestParseNotice checks which pause a target's response asks for, which limit it names, and whether it announces that
// the target leaves.
func TestParseNotice(t *testing.T) {
	rows := []struct {
		name, leaving, retryAfter string
		limit                     string
		status                    int
		want                      Notice
		failed                    bool
	}{
		{"nothing", "", "", "", 200, Notice{}, false},
		{"leaving", "1", "", "", 200, Notice{Leaving: true}, false},
		{"leaving after a failure", "1", "", "", 500, Notice{Leaving: true}, false},
		{"other value of leaving", "0", "", "", 200, Notice{}, false},
		{"pause", "", "2", "", 503, Notice{QuietFor: 2 * time.Second}, false},
		{"fraction", "", "0.25", "", 503, Notice{QuietFor: 250 * time.Millisecond}, false},
		{"zero", "", "0", "", 503, Notice{}, false},
		{"absurd", "", "1e300", "", 503, Notice{QuietFor: maxQuiet}, false},
		{"infinite", "", "Inf", "", 503, Notice{QuietFor: maxQuiet}, false},
		{"not a number", "", "NaN", "", 503, Notice{}, true},
		{"negative", "", "-1", "", 503, Notice{}, true},
		{"unreadable", "1", "soon", "", 503, Notice{Leaving: true}, true},
		{"pause with another status", "", "2", "", 429, Notice{}, false},
		{"limit", "", "", "1.4", 200, Notice{Limit: 1.4, Limited: true}, false},
		{"limit and pause", "", "2", "3", 503, Notice{QuietFor: 2 * time.Second, Limit: 3, Limited: true}, false},
		{"limit of zero", "", "", "0", 200, Notice{Limited: true}, false},
		{"infinite limit", "", "", "Inf", 200, Notice{Limit: maxLimit, Limited: true}, false},
		{"negative limit", "", "", "-1", 200, Notice{}, true},
		{"unreadable limit", "1", "", "few", 200, Notice{Leaving: true}, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p := &http.Response{StatusCode: r.status, Header: http.Header{}}
			p.Header.Set("X-Leaving", r.leaving)
			p.Header.Set("Retry-After", r.retryAfter)
			p.Header.Set("X-Limit", r.limit)
			n, err := parseNotice(&Headers{Leaving: "X-Leaving", Limit: "X-Limit"}, p)
			if n != r.want || (err != nil) != r.failed {
				t.Errorf("notice %+v, error %v, want %+v, error %t", n, err, r.want, r.failed)
			}
		})
	}
}

// TestEndsLimit checks which responses without a limit show that the target names none any more.
func TestEndsLimit(t *testing.T) {
	rows := []struct {
		name     string
		notice   Notice
		inProbes bool
		want     bool
	}{
		{"request run", Notice{Source: fromRun}, false, true},
		{"request refused", Notice{Source: fromRefusal}, true, false},
		{"probe of a target that names it in probes", Notice{Source: fromProbe}, true, true},
		{"probe of a target that does not", Notice{Source: fromProbe}, false, false},
		{"request run, with a limit", Notice{Source: fromRun, Limited: true}, true, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if got := r.notice.EndsLimit(r.inProbes); got != r.want {
				t.Errorf("EndsLimit = %t, want %t", got, r.want)
			}
		})
	}
}
